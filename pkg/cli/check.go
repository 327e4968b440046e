package cli

import (
	"os"

	"github.com/sardineturn/sardineturn/pkg/document"
)

type checkCommand struct {
	Files []string `arg:"" name:"file" help:"Service documents to check."`
}

// Help returns the text that --help adds to the list of flags.
func (*checkCommand) Help() string {
	return `Prints one line per fault with its path in the document, its code and its
reason. Warnings do not make a document invalid. The exit code is 0 if all
documents are valid and 1 otherwise.

Example:

    sardineturn check examples/shevitsa/fitting-desk-01.json`
}

// Run checks all files, even after one of them was invalid.
func (c *checkCommand) Run(p *Program) error {
	var failed error
	for _, file := range c.Files {
		if !checkFile(p, file) {
			failed = errAlreadyReported
		}
	}
	return failed
}

func checkFile(p *Program, file string) bool {
	content, err := os.ReadFile(file)
	if err != nil {
		p.printf("%s: unreadable: %v\n", file, err)
		return false
	}
	for _, f := range document.Check(content) {
		p.printf("%s: %s\n", file, f)
	}
	d, err := document.Parse(content)
	if err != nil {
		p.printf("%s: invalid\n", file)
		return false
	}
	p.printf("%s: valid: service %s, revision %d, %d upstreams, %d shards in snapshot %s, %d scheduling groups\n",
		file, d.Service, d.Revision, len(d.Upstreams), len(d.Newest().Shards), d.Newest().ID, len(d.Groups()))
	return true
}
