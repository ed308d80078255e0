// Command review-standin runs one case of the review: it starts the entry instances as separate processes, stands in for the
// platform, the engines and the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(*bench){}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: review-standin CASE RECORD")
		os.Exit(exitCannotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("no such case:", os.Args[1])
		os.Exit(exitCannotRun)
	}
	defer func() {
		if reason := recover(); reason != nil {
			fmt.Println("the case could not run:", reason)
			os.Exit(exitCannotRun)
		}
	}()
	play(newBench(os.Args[2]))
}
