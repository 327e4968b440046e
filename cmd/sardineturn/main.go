// Command sardineturn is the query tier's only shipped binary. Its commands run
// instances and gateways, and help operators to check documents, to query and inspect
// instances and to read logs and traces.
package main

import (
	"context"
	"os"

	"github.com/sardineturn/sardineturn/pkg/app"
	"github.com/sardineturn/sardineturn/pkg/cli"
)

func main() {
	program := &cli.Program{Stdout: os.Stdout, Stderr: os.Stderr, Serve: app.Serve, Gateway: app.ServeGateway}
	os.Exit(program.Run(context.Background(), os.Args[1:]))
}
