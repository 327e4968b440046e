package main

import (
	"os"
	"path/filepath"
)

// programs are the paths of the two binaries and of the directory for logs and
// settings files, for commands that start processes.
type programPaths struct {
	Sardineturn string `help:"Path of the sardineturn binary; the one next to this binary when absent."`
	Dir         string `help:"Directory for logs and settings files; a temporary one when absent."`
}

// resolve fills in defaults and returns the path of this binary.
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
