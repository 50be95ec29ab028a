package policy

import (
	"errors"
	"os"
	"path/filepath"
	"strconv"

	"github.com/samber/oops"

	"camphorroad/command/factory"
	"camphorroad/core/crconfig"
	"camphorroad/io/crpolicyfile"
)

// ManifestFile is the manifest's file name in a bundle's directory.
const ManifestFile = "manifest"

// BuildOptions are the options of `policy build`.
type BuildOptions struct {
	Files []string `arg:"" name:"file" help:"Policy files of all services and accounts."`
	Out   string   `required:"" placeholder:"DIR" help:"Directory to write the manifest and the values to."`
	JSON  bool     `help:"Write the result as JSON."`
}

// NewBuild returns the options for an output directory and policy files.
func NewBuild(out string, files ...string) *BuildOptions {
	return &BuildOptions{Out: out, Files: files}
}

// Help is shown with the command's flags.
func (*BuildOptions) Help() string {
	return `Writes DIR/manifest and a file DIR/values/DIGEST for each value. The same policies
give the same bytes.

EXAMPLES
  $ camphorroad policy build --out bundle */policy.toml accounts.toml`
}

type buildEntry struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
	Size   int    `json:"size"`
}

// Run validates the files and writes the bundle.
func (o *BuildOptions) Run(f *factory.Factory) error {
	files, err := readFiles(o.Files)
	if err != nil {
		return err
	}
	b, err := crpolicyfile.Build(files)
	var problems crpolicyfile.Problems
	if errors.As(err, &problems) {
		return reportProblems(f, problems, false)
	}
	if err != nil {
		return err
	}
	if err := writeBundle(o.Out, b); err != nil {
		return err
	}
	return o.print(f, b)
}

// writeBundle writes the manifest last, so that all values that it names exist when it
// appears.
func writeBundle(dir string, b crpolicyfile.Bundle) error {
	values := filepath.Join(dir, "values")
	if err := os.MkdirAll(values, 0o755); err != nil {
		return oops.Wrapf(err, "create the output directory")
	}
	for _, v := range b.Values() {
		name := filepath.Join(values, crconfig.DigestOf(v.Data).String())
		if err := os.WriteFile(name, v.Data, 0o644); err != nil {
			return oops.Wrapf(err, "write a value")
		}
	}
	err := os.WriteFile(filepath.Join(dir, ManifestFile), b.Manifest(), 0o644)
	return oops.Wrapf(err, "write the manifest")
}

func (o *BuildOptions) print(f *factory.Factory, b crpolicyfile.Bundle) error {
	entries := []buildEntry{{Name: ManifestFile, Digest: b.Digest().String(), Size: len(b.Manifest())}}
	for _, v := range b.Values() {
		entries = append(entries, buildEntry{Name: v.Name, Digest: crconfig.DigestOf(v.Data).String(), Size: len(v.Data)})
	}
	if o.JSON {
		return f.JSON(entries)
	}
	var rows [][]string
	for _, e := range entries {
		rows = append(rows, []string{e.Name, e.Digest, strconv.Itoa(e.Size)})
	}
	return f.Table([]string{"NAME", "DIGEST", "BYTES"}, rows)
}
