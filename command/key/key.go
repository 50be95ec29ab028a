// Package key holds the commands that generate and hash the keys of client accounts.
package key

// Commands are the subcommands of `key`.
type Commands struct {
	New  NewOptions  `cmd:"" help:"Generate a key and its hash."`
	Hash HashOptions `cmd:"" help:"Hash a key read from standard input."`
}

type result struct {
	Key  string `json:"key,omitempty"`
	Hash string `json:"hash"`
}
