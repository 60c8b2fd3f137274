// Command case plays one case of the review: it starts limiters, stand-ins and clients, and judges what they saw. It
// exits with 1 if the case's rule was broken, 0 if it held, and 2 if the case could not run.
//
//	case N
//
// REVIEW_ROOT is the root of the repository, REVIEW_CASE the folder for record.txt. TROUBLE=0 leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// longest is how long a case may take.
const longest = 110 * time.Second

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]struct {
	limiters int
	change   func(settings map[string]any)
	play     func(w *world, trouble bool) (verdict, error)
}{
	"1": {3, nil, playManyCustomers},
	"2": {3, nil, playLongList},
	"3": {3, askForLists, playSlowDiscovery},
}

// The processes that the main thread starts end with it.
func init() { runtime.LockOSThread() }

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case N")
		return 2
	}
	chosen, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(chosen.limiters, chosen.change)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		fmt.Println("could not run:", err)
		return 2
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	type outcome struct {
		verdict
		err error
	}
	played := make(chan outcome, 1)
	go func() {
		v, err := chosen.play(w, trouble)
		played <- outcome{v, err}
	}()
	select {
	case <-ended:
		return 2
	case <-time.After(longest):
		fmt.Println("could not run: took too long")
		return 2
	case o := <-played:
		if o.err != nil {
			w.record.Linef("could not run: %v", o.err)
			fmt.Println("could not run:", o.err)
			return 2
		}
		w.record.Linef("broken=%v: %s", o.broken, o.text)
		fmt.Printf("trouble=%v broken=%v: %s\n", trouble, o.broken, o.text)
		if o.broken {
			return 1
		}
		return 0
	}
}
