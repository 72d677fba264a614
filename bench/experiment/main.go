// Command experiment sends the load of a file to each of its targets in turn, several times, and compares how the requests
// end. It starts the fleets that the file describes, with -baseline also those of a second build.
//
//	go run ./bench/experiment -plot result.svg examples/experiments/competing-teams.yaml
//	go run ./bench/experiment -daemon NEW -baseline OLD -json - examples/experiments/competing-teams.yaml
package main

import (
	"os"

	"rosemaryline.dev/bench/loadgen"
)

func main() { os.Exit(loadgen.Run("experiment", os.Args[1:], false)) }
