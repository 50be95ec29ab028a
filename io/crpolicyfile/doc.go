// Package crpolicyfile reads operators' policy files, and packs them into the
// values that the platform publishes.
//
// A policy file is TOML. A service's file holds [service], at most one [probe]
// and any number of [[route]]; an accounts file holds [[account]]. All files of
// the fleet are checked together, since names, routes and keys must not clash
// over files. Every fault found is returned with its file, line, column and key;
// a syntax error or a value of the wrong type ends the reading of its own file
// only.
//
// # Usage
//
//	policy, err := crpolicyfile.Read(files)   // err is Problems
//	bundle, err := crpolicyfile.Build(files)  // what is published
//	loader := crpolicyfile.NewLoader()                        // at the daemon
//	snapshot, err := loader.Load(rev, manifest, values)
package crpolicyfile
