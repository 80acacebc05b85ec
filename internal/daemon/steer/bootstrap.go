package steer

import (
	"context"
	"math/rand/v2"
	"sync"
)

// maxAsked bounds how many seeds one round asks.
const maxAsked = 32

// asked is the answer of one seed.
type asked struct {
	address  string
	sequence uint64
}

// askSeeds asks other steer processes what they have, takes the newest, and
// makes this process ready when none of those that answered has more.
func (n *Node) askSeeds(ctx context.Context) {
	best := n.newestOf(ctx, n.seeds())
	if best.sequence > n.head().Sequence {
		n.catchUp(ctx, best.address)
	}
	if ctx.Err() == nil && n.head().Sequence >= best.sequence {
		n.setReady()
	}
}

// seeds returns the addresses to ask: the domain's other hosts, once known,
// and the seeds of the settings.
func (n *Node) seeds() []string {
	list := addresses(n.cfg.Seeds)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if index := n.receiver.Index(); index != nil {
		for _, h := range index.Hosts(n.cfg.Domain) {
			if h.Name != n.cfg.Host {
				list = append([]string{h.Steer.String()}, list...)
			}
		}
	}
	return list[:min(len(list), maxAsked)]
}

// newestOf asks all of a list at once, and waits for each to answer or fail.
func (n *Node) newestOf(ctx context.Context, list []string) asked {
	var wg sync.WaitGroup
	answers := make([]asked, len(list))
	for i, address := range list {
		wg.Go(func() {
			if ack, ok := n.beatOnce(ctx, address); ok {
				answers[i] = asked{address: address, sequence: ack.SteerSequence}
			}
		})
	}
	wg.Wait()
	var best asked
	for _, a := range answers {
		if a.sequence > best.sequence {
			best = a
		}
	}
	return best
}
