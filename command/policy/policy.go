// Package policy holds the commands that check operators' policy files and build
// the bundle that the platform publishes. Package io/crpolicyfile reads the files.
package policy

import (
	"os"

	"github.com/samber/oops"

	"camphorroad/io/crpolicyfile"
)

// Commands are the subcommands of `policy`.
type Commands struct {
	Check CheckOptions `cmd:"" help:"Check policy files together."`
	Build BuildOptions `cmd:"" help:"Build the bundle to publish."`
}

func readFiles(paths []string) ([]crpolicyfile.File, error) {
	files := make([]crpolicyfile.File, 0, len(paths))
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, oops.Wrapf(err, "read a policy file")
		}
		files = append(files, crpolicyfile.File{Name: path, Data: data})
	}
	return files, nil
}
