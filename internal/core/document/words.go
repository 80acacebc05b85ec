package document

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// possessive returns "gulf's" or "carolinas'".
func possessive(name string) string {
	if strings.HasSuffix(name, "s") {
		return name + "'"
	}
	return name + "'s"
}

// count returns "1 server" or "1,204 servers".
func count(n int, noun string) string {
	if n != 1 {
		noun += "s"
	}
	return grouped(n) + " " + noun
}

const thousand = 1000

// grouped writes a number with commas between thousands.
func grouped(n int) string {
	if n < thousand {
		return strconv.Itoa(n)
	}
	return fmt.Sprintf("%s,%03d", grouped(n/thousand), n%thousand)
}

// list returns "a", "a and b" or "a, b and c".
func list(items []string) string {
	if len(items) < 2 {
		return strings.Join(items, "")
	}
	last := len(items) - 1
	return strings.Join(items[:last], ", ") + " and " + items[last]
}

// maxExamples bounds how many of many things are named.
const maxExamples = 3

// examples names the first few of many things.
func examples(items []string) string {
	if len(items) <= maxExamples {
		return list(items)
	}
	return strings.Join(items[:maxExamples], ", ") + " and " + grouped(len(items)-maxExamples) + " more"
}

// share writes a part of a whole in percent, to a tenth.
func share(part, whole float64) string {
	const tenths = 10
	return Percent(math.Round(part/whole*100*tenths) / tenths).String()
}

// durationText writes a duration in words, such as "1 minute" or "250 ms".
func durationText(d Duration) string {
	v := d.D()
	for _, u := range []struct {
		unit time.Duration
		noun string
	}{{24 * time.Hour, "day"}, {time.Hour, "hour"}, {time.Minute, "minute"}, {time.Second, "second"}} {
		if v >= u.unit && v%u.unit == 0 {
			return count(int(v/u.unit), u.noun)
		}
	}
	if v%time.Millisecond == 0 {
		return fmt.Sprintf("%d ms", v.Milliseconds())
	}
	return v.String()
}

// moment writes a time for a reader in any place.
func moment(t time.Time) string { return t.UTC().Format("Mon 2 Jan 2006 15:04:05 UTC") }
