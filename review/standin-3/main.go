// Command standin-3 plays the case odd-entry of the second review: it starts the proxy as separate processes, with stand-ins for its
// clients, servers and platform on loopback addresses, and exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not
// run.
package main

import (
	"fmt"
	"os"
)

// cases maps the names of the cases to what plays them. Each returns whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"odd-entry": playOddEntry,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin-3 CASE RECORD-FILE")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, recordPath string) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	w, err := newWorld(rec)
	if err != nil {
		rec.logf("the case could not run: %v", err)
		return 2
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case %s, trouble %t", name, trouble)
	broken, err := cases[name](w, trouble)
	switch {
	case err != nil:
		rec.logf("the case could not run: %v", err)
		return 2
	case broken:
		rec.logf("result: the rule was broken")
		return 1
	}
	rec.logf("result: the rule held")
	return 0
}
