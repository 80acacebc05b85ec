package main

import (
	"fmt"
	"os"
	"strings"
)

var cases = map[string]func(*world){}

// Arguments: the case, the record file, 1 or 0 for the trouble, and the command of the deploy file.
func main() {
	if len(os.Args) < 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cassiatray-review CASE RECORD 0|1 COMMAND...")
		os.Exit(exitFailed)
	}
	w := newWorld(os.Args[2], os.Args[3] != "0", strings.Fields(strings.Join(os.Args[4:], " ")))
	cases[os.Args[1]](w)
	w.fatal("the case has no verdict")
}
