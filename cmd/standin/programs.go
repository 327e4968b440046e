package main

import (
	"os"
	"path/filepath"
)

// programPaths holds the flags of the commands that start processes: the path of the
// sardineturn binary and the directory for logs and settings files.
type programPaths struct {
	Sardineturn string `help:"Path of the sardineturn binary; the one next to this binary when absent."`
	Dir         string `help:"Directory for logs and settings files; a temporary one when absent."`
}

// resolve sets the paths that were not given as flags, and returns the path of the running
// standin binary. It creates a temporary directory, with a name after tempPattern, if no
// directory was given.
func (p *programPaths) resolve(tempPattern string) (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	if p.Sardineturn == "" {
		p.Sardineturn = filepath.Join(filepath.Dir(self), "sardineturn")
	}
	if p.Dir == "" {
		p.Dir, err = os.MkdirTemp("", tempPattern)
	}
	return self, err
}
