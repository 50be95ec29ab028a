// Package crpolicyfile reads the operators' policy files, packs them into the values
// that the platform publishes, and loads published values into a snapshot.
//
// A policy file is TOML. A service file holds [service], at most one [probe] and any
// number of [[route]]; an accounts file holds [[account]]. All files of the fleet are
// validated together, since names, routes and keys must not conflict between files.
// Every problem is returned with its file, line, column and key. A syntax error or a
// value of the wrong type ends the reading of its own file only.
//
// The policy commands build a [Bundle]; each daemon validates it again with a [Loader].
// Package core/crpolicy holds the types of a policy and the snapshot; io/crplatform
// reads the published values.
//
// # Usage
//
//	policy, err := crpolicyfile.Read(files)  // err is Problems
//	bundle, err := crpolicyfile.Build(files) // what is published
//	loader := crpolicyfile.NewLoader()       // in the daemon
//	snapshot, err := loader.Load(rev, manifest, values)
package crpolicyfile
