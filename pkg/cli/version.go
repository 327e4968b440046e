package cli

import (
	"runtime/debug"
)

type versionCommand struct{}

// Help returns the text that --help adds to the list of flags.
func (*versionCommand) Help() string {
	return `Example:

    sardineturn version`
}

// Run prints the module version, the commit and the Go version that the program
// was built from. The build may lack some of them.
func (*versionCommand) Run(p *Program) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		p.printf("sardineturn (no build information)\n")
		return nil
	}
	revision := "unknown"
	modified := ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = " (modified)"
		}
	}
	p.printf("sardineturn %s, commit %s%s, %s\n", info.Main.Version, revision, modified, info.GoVersion)
	return nil
}
