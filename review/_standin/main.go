// Command standin runs the cases of the review: it starts the project's controllers as processes, plays the state
// service, the cloud, the workers and the users around them, and checks a rule by what these see.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases holds the cases by the names of their folders.
var cases = map[string]func(folder string) int{}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: standin FOLDER")
		os.Exit(2)
	}
	folder, err := filepath.Abs(os.Args[1])
	run := cases[filepath.Base(folder)]
	if err != nil || run == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	os.Exit(run(folder))
}
