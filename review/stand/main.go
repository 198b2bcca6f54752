// Command stand plays the cases of the review: stand-ins for clients, tile stores and discovery around a proxy process.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// The kernel ends a proxy when the thread that started it ends, so cases run on the main thread, which lasts.
func init() { runtime.LockOSThread() }

// longestRun is when a case that has not ended is given up.
const longestRun = 110 * time.Second

// cases holds the cases by name. A case returns whether the rule held, or an error if it could not run.
var cases = map[string]func(root string, trouble bool, rec *record) (held bool, err error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE ROOT RECORD")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	time.AfterFunc(longestRun, func() {
		rec.add("the case could not run: it took too long")
		os.Exit(2)
	})
	held, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0", rec)
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	case !held:
		rec.add("verdict: the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	rec.add("verdict: the rule held")
	fmt.Println("the rule held")
}
