package craccount

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// An account sends too much, and each entry wants to hold 300 ms of that ahead.
// When the crowd is gone, tokens lie at entries where nobody asks for them, and
// callers elsewhere are refused inside the rate. So little is held ahead while
// others wait, too; alone at one entry, an account keeps its tokens ahead.
func TestLittleIsHeldAheadWhileOthersWait(t *testing.T) {
	for _, rivals := range []bool{false, true} {
		g := NewWithT(t)
		e, seq := asker(g, ms(10))
		e.snap = limitOf(100, 200)
		a := e.entry.accounts[acct]
		a.demand = 100
		g.Expect(e.target(a)).To(Equal(30))
		item := GrantItem{Account: acct, ID: 1, Tokens: 1, Short: true, Rivals: rivals}
		e.takeGrant("x", Grant{Inc: 9, To: 5, Seq: seq, Items: []GrantItem{item}})
		if rivals {
			g.Expect(e.target(a)).To(Equal(5))
			e.advance(e.now.Add(scarceFor + time.Millisecond))
		}
		g.Expect(e.target(a)).To(Equal(30))
	}
}
