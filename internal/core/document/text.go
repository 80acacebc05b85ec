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

// countText returns "1 server" or "1,204 servers".
func countText(n int, noun string) string {
	if n != 1 {
		noun += "s"
	}
	return groupThousands(n) + " " + noun
}

const thousand = 1000

// groupThousands formats a number with commas between thousands.
func groupThousands(n int) string {
	if n < thousand {
		return strconv.Itoa(n)
	}
	return fmt.Sprintf("%s,%03d", groupThousands(n/thousand), n%thousand)
}

// joinList returns "a", "a and b" or "a, b and c".
func joinList(items []string) string {
	if len(items) < 2 {
		return strings.Join(items, "")
	}
	last := len(items) - 1
	return strings.Join(items[:last], ", ") + " and " + items[last]
}

// maxExamples is the maximum number of items that joinExamples lists.
const maxExamples = 3

// joinExamples lists the first few items and counts the rest.
func joinExamples(items []string) string {
	if len(items) <= maxExamples {
		return joinList(items)
	}
	return strings.Join(items[:maxExamples], ", ") + " and " + groupThousands(len(items)-maxExamples) + " more"
}

// percentText formats part as a percentage of whole, rounded to a tenth.
func percentText(part, whole float64) string {
	const tenths = 10
	return Percent(math.Round(part/whole*100*tenths) / tenths).String()
}

// durationText formats a duration for a sentence, such as "1 minute" or "250
// ms".
func durationText(d Duration) string {
	v := d.D()
	for _, u := range []struct {
		unit time.Duration
		noun string
	}{{24 * time.Hour, "day"}, {time.Hour, "hour"}, {time.Minute, "minute"}, {time.Second, "second"}} {
		if v >= u.unit && v%u.unit == 0 {
			return countText(int(v/u.unit), u.noun)
		}
	}
	if v%time.Millisecond == 0 {
		return fmt.Sprintf("%d ms", v.Milliseconds())
	}
	return v.String()
}

// timeText formats a time in UTC, for readers in any time zone.
func timeText(t time.Time) string { return t.UTC().Format("Mon 2 Jan 2006 15:04:05 UTC") }
