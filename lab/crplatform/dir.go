package crplatform

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"

	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
)

// Names in a bundle directory, as written by `policy build`.
const (
	manifestFile  = "manifest"
	valuesDir     = "values"
	instancesFile = "instances.toml"
)

type fileTarget struct {
	Name    string `toml:"name"`
	Service string `toml:"service"`
}

type fileInstance struct {
	Daemon  string       `toml:"daemon"`
	Domain  string       `toml:"domain"`
	Addr    string       `toml:"addr"`
	State   string       `toml:"state"` // live (also when empty) or leaving
	Targets []fileTarget `toml:"target"`
}

type fileInstances struct {
	Instances []fileInstance `toml:"instance"`
}

// ReadUpload reads a bundle directory. ok is false if it has no manifest.
func ReadUpload(dir string) (up Upload, ok bool, err error) {
	up.Manifest, err = os.ReadFile(filepath.Join(dir, manifestFile))
	if errors.Is(err, fs.ErrNotExist) {
		return Upload{}, false, nil
	}
	if err != nil {
		return Upload{}, false, err
	}
	entries, err := os.ReadDir(filepath.Join(dir, valuesDir))
	if err != nil {
		return Upload{}, false, err
	}
	for _, e := range entries {
		data, err := os.ReadFile(filepath.Join(dir, valuesDir, e.Name()))
		if err != nil {
			return Upload{}, false, err
		}
		up.Values = append(up.Values, data)
	}
	return up, true, nil
}

// ReadInstances reads DIR/instances.toml. ok is false if the file does not exist.
func ReadInstances(dir string) (instances []crinstance.Instance, ok bool, err error) {
	data, err := os.ReadFile(filepath.Join(dir, instancesFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, err
	}
	var file fileInstances
	if err := toml.Unmarshal(data, &file); err != nil {
		return nil, false, fmt.Errorf("%s: %w", instancesFile, err)
	}
	for _, fi := range file.Instances {
		in, err := fi.instance()
		if err != nil {
			return nil, false, err
		}
		instances = append(instances, in)
	}
	return instances, true, nil
}

func (fi fileInstance) instance() (crinstance.Instance, error) {
	in := crinstance.Instance{
		Daemon: crid.Daemon(fi.Daemon),
		Domain: crid.Domain(fi.Domain),
		Addr:   fi.Addr,
		State:  crinstance.StateLive,
	}
	switch fi.State {
	case "", "live":
	case "leaving":
		in.State = crinstance.StateLeaving
	default:
		return in, fmt.Errorf("%s: instance %s: state is live or leaving, not %q", instancesFile, fi.Daemon, fi.State)
	}
	for _, t := range fi.Targets {
		in.Targets = append(in.Targets, crinstance.Target{Name: crid.Target(t.Name), Service: crid.Service(t.Service)})
	}
	return in, nil
}
