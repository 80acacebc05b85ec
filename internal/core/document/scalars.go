package document

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// ScalarError is a value that does not have the format that its key expects.
type ScalarError struct {
	Value    string
	Expected string
}

func (e *ScalarError) Error() string {
	return fmt.Sprintf("%q is not %s", e.Value, e.Expected)
}

// UnmarshalText parses a duration such as "250ms".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return &ScalarError{Value: string(text), Expected: `a duration such as "250ms"`}
	}
	*d = Duration(v)
	return nil
}

// MarshalText formats the duration as in "250ms".
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

func (d Duration) String() string { return time.Duration(d).String() }

// UnmarshalText parses a percentage such as "30%".
func (p *Percent) UnmarshalText(text []byte) error {
	bad := &ScalarError{Value: string(text), Expected: `a share such as "30%"`}
	digits, ok := strings.CutSuffix(string(text), "%")
	if !ok {
		return bad
	}
	v, err := strconv.ParseFloat(digits, 64)
	if err != nil || !(v >= 0 && v <= 100) {
		return bad
	}
	*p = Percent(v)
	return nil
}

// MarshalText formats the percentage as in "30%".
func (p Percent) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

func (p Percent) String() string {
	return strconv.FormatFloat(float64(p), 'f', -1, 64) + "%"
}

// Units of Size in bytes.
const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// UnmarshalText parses a size such as "64KiB", "1MiB" or "512B".
func (s *Size) UnmarshalText(text []byte) error {
	bad := &ScalarError{Value: string(text), Expected: `a size such as "64KiB"`}
	digits, unit := string(text), int64(0)
	for _, u := range []struct {
		suffix string
		bytes  int64
	}{{"KiB", kibibyte}, {"MiB", mebibyte}, {"B", 1}} {
		if rest, ok := strings.CutSuffix(digits, u.suffix); ok {
			digits, unit = rest, u.bytes
			break
		}
	}
	v, err := strconv.ParseInt(digits, 10, 32)
	if err != nil || v < 0 || unit == 0 {
		return bad
	}
	*s = Size(v * unit)
	return nil
}

// MarshalText formats the size in the largest unit that divides it.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

func (s Size) String() string {
	switch {
	case s >= mebibyte && s%mebibyte == 0:
		return strconv.FormatInt(int64(s)/mebibyte, 10) + "MiB"
	case s >= kibibyte && s%kibibyte == 0:
		return strconv.FormatInt(int64(s)/kibibyte, 10) + "KiB"
	}
	return strconv.FormatInt(int64(s), 10) + "B"
}

// UnmarshalText parses "ip:port"; host names are rejected.
func (a *Address) UnmarshalText(text []byte) error {
	v, err := netip.ParseAddrPort(string(text))
	if err != nil || v.Port() == 0 {
		return &ScalarError{Value: string(text), Expected: `an IP address with a port such as "10.0.0.1:8080"`}
	}
	a.AddrPort = v
	return nil
}

// IsZero reports whether the address is not set; encoders then omit it.
func (a Address) IsZero() bool { return !a.IsValid() }

// UnmarshalText parses a block in CIDR notation without host bits.
func (p *Prefix) UnmarshalText(text []byte) error {
	v, err := netip.ParsePrefix(string(text))
	if err != nil || v != v.Masked() {
		return &ScalarError{Value: string(text), Expected: `a client block such as "10.1.0.0/16", without host bits`}
	}
	p.Prefix = v
	return nil
}
