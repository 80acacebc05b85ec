package gateway

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiatray/internal/core/mirror"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/core/valuecodec"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// wideConfig returns a configuration whose value is encoded, with a number of routes.
func wideConfig(version uint64, routes int) plainConfig {
	c := plainConfig{Version: version, Services: []routing.Service{{Name: "s"}}}
	for range routes {
		c.Routes = append(c.Routes, testRoutes()...)
	}
	return c
}

// keeperWith returns a keeper that has taken versions of a configuration from the store.
func keeperWith(configs ...plainConfig) *Keeper {
	k := NewKeeper(testSettings("g", "a1", 1), plainSchema{}, discardLog())
	for _, c := range configs {
		now := time.Now()
		k.Apply([]mirror.Record{{Key: "config", Revision: 100 + c.Version, Read: now, Value: encode(c)}}, 100+c.Version, "store", now)
	}
	return k
}

// pulledFrom has one keeper take the page that another has for it.
func pulledFrom(source, puller *Keeper, readsEncoded bool, digest valuecodec.Digest) (page *peerv1.MirrorPage, err error) {
	page = source.Page(context.Background(), 1, &peerv1.MirrorPull{Have: puller.Have(), ConfigVersion: puller.configVersion(), ReadsEncoded: readsEncoded, ConfigDigest: []byte(digest)})
	sent := proto.CloneOf(page)
	if err := puller.decodeConfig(page); err != nil {
		return sent, err
	}
	puller.TakePage(page, "source", time.Now())
	return sent, nil
}

// Guards against a configuration that reaches a gateway changed, or not at all, by what the gateway
// and its source have of earlier versions, and against one that costs its whole size for each.
func TestConfigurationsAreEncodedForWhatPullersHave(t *testing.T) {
	old, next := wideConfig(2, 60), wideConfig(3, 61)
	value := encode(next)
	for _, c := range []struct {
		name           string
		source, puller []plainConfig
		plain          bool
		most           int
	}{
		{name: "nothing", source: []plainConfig{next}, most: len(value) / 4},
		{name: "the version before", source: []plainConfig{old, next}, puller: []plainConfig{old}, most: len(value) / 20},
		{name: "the version before, which the source never had", source: []plainConfig{next}, puller: []plainConfig{old}, most: len(value) / 4},
		{name: "a version that the source has dropped", source: []plainConfig{wideConfig(1, 59), old, wideConfig(2, 1), next, wideConfig(4, 62), wideConfig(5, 63)}, puller: []plainConfig{wideConfig(1, 59)}, most: len(value) / 4},
		{name: "a build that reads none", source: []plainConfig{old, next}, puller: []plainConfig{old}, plain: true, most: 2 * len(value)},
		{name: "a small one", source: []plainConfig{wideConfig(1, 1), next}, puller: []plainConfig{wideConfig(1, 1)}, most: len(value) / 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			source, puller := keeperWith(c.source...), keeperWith(c.puller...)
			page, err := pulledFrom(source, puller, !c.plain, puller.configs.digest())
			if err != nil {
				t.Fatal(err)
			}
			if puller.configVersion() != source.configVersion() || !bytes.Equal(puller.configRecord.Value, source.configRecord.Value) {
				t.Errorf("version %d came as %d", source.configVersion(), puller.configVersion())
			}
			if size := pageSize(page); size > c.most {
				t.Errorf("page of %d bytes, at most %d of %d are expected", size, c.most, len(value))
			}
			if again, err := pulledFrom(source, puller, true, puller.configs.digest()); err != nil || pageSize(again) > 200 {
				t.Errorf("the next page has %d bytes: %v", pageSize(again), err)
			}
		})
	}
}

// Guards against a gateway that gets the same configuration whole from each of its sources.
func TestConfigurationThatIsHeldIsNotSentAgain(t *testing.T) {
	source, puller := keeperWith(wideConfig(3, 61)), keeperWith()
	if _, err := pulledFrom(source, puller, true, ""); err != nil {
		t.Fatal(err)
	}
	page := source.Page(context.Background(), 1, &peerv1.MirrorPull{ReadsEncoded: true, ConfigDigest: []byte(puller.configs.digest())})
	if size := pageSize(page); size > 200 || len(page.Records) != 1 {
		t.Errorf("page of %d bytes with %d records", size, len(page.Records))
	}
	if err := puller.decodeConfig(page); err != nil || !bytes.Equal(page.Records[0].Value, source.configRecord.Value) {
		t.Errorf("record of %d bytes: %v", len(page.Records[0].Value), err)
	}
}

// Guards against an encoded value whose base is unknown and that is decoded for another one.
func TestUnknownBaseIsRefused(t *testing.T) {
	source, puller := keeperWith(wideConfig(2, 60), wideConfig(3, 61)), keeperWith(wideConfig(1, 30))
	_, err := pulledFrom(source, puller, true, valuecodec.DigestOf(encode(wideConfig(2, 60))))
	var unknown *UnknownBaseError
	if !errors.As(err, &unknown) || puller.configVersion() != 1 {
		t.Errorf("version %d, error %v", puller.configVersion(), err)
	}
}

// Guards against a configuration that is sent whole to gateways that have it, since its record was
// written again, or came back from a copy of the store.
func TestRewrittenConfigurationIsNotSentWhole(t *testing.T) {
	old, c := wideConfig(2, 60), wideConfig(3, 61)
	for name, write := range map[string]func(k *Keeper, now time.Time){
		"written again": func(k *Keeper, now time.Time) {
			k.Apply([]mirror.Record{{Key: "config", Revision: 200, Read: now, Value: encode(c)}}, 200, "store", now)
		},
		"restored": func(k *Keeper, now time.Time) {
			revision := port.RevisionIn(1, 103)
			k.Replace([]mirror.Record{{Key: "config", Revision: revision, Read: now, Value: encode(c)}}, revision, "store", now)
		},
		"restored with the version before": func(k *Keeper, now time.Time) {
			revision := port.RevisionIn(1, 102)
			k.Replace([]mirror.Record{{Key: "config", Revision: revision, Read: now, Value: encode(old)}}, revision, "store", now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			source, puller := keeperWith(old, c), keeperWith(old, c)
			write(source, time.Now())
			page, err := pulledFrom(source, puller, true, puller.configs.digest())
			if err != nil || puller.configVersion() != 3 {
				t.Fatalf("version %d, error %v", puller.configVersion(), err)
			}
			if size := pageSize(page); size > 500 {
				t.Errorf("page of %d bytes", size)
			}
		})
	}
}

func pageSize(page *peerv1.MirrorPage) (size int) {
	for r := range recordsOfPage(page) {
		size += len(r.Value) + len(r.GetEncoded().GetData())
	}
	return size
}
