// Command sardineturn is the query tier's one shipped binary.
package main

import (
	"context"
	"os"

	"github.com/sardineturn/sardineturn/pkg/cli"
)

func main() {
	program := &cli.Program{Stdout: os.Stdout, Stderr: os.Stderr}
	os.Exit(program.Run(context.Background(), os.Args[1:]))
}
