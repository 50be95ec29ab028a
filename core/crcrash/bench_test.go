package crcrash_test

import (
	"testing"

	"camphorroad/core/crcrash"
)

func BenchmarkKeyOf(b *testing.B) {
	for name, size := range map[string]int{"no body": 0, "1 KiB": 1 << 10, "1 MiB": 1 << 20} {
		b.Run(name, func(b *testing.B) {
			c := crcrash.Content{Account: "account-1", Method: "POST", Host: "h.example", URI: "/path/12?a=1", Body: make([]byte, size)}
			for b.Loop() {
				crcrash.KeyOf(c)
			}
		})
	}
}
