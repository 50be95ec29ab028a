package crsite_test

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crregion"
	"camphorroad/io/crsite"
)

const validSettings = `
name = "side-1"
address = "10.1.0.5"
domain = "a"
service = "s1"
target = "10.1.0.5:8403"
seeds = ["10.1.0.6:8407"]

[listen]
caller = "10.1.0.5:8402"
ready = "10.1.0.5:8406"
control = ""
ports = [7660, 7675]

[store]
address = "10.200.1.7:8408"

[limits]
memory = 284

[bounds]
grace = 6
slack = 56
`

func TestParseAppliesDefaults(t *testing.T) {
	g := gomega.NewWithT(t)
	s, err := crsite.Parse("boot.toml", []byte(validSettings))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Listen.Ports).To(gomega.Equal([]int{7660, 7675}))
	g.Expect(s.Bounds.GracePeriod()).To(gomega.Equal(6 * time.Second))
	g.Expect(s.Bounds.RetryWindow()).To(gomega.Equal(10 * time.Second))
	g.Expect(s.Bounds.Ratio).To(gomega.Equal(0.2))
	g.Expect(s.Bounds.WarmupRatio).To(gomega.Equal(1.0))
	g.Expect(s.Limits.HeadBytes).To(gomega.Equal(1 << 20))
	g.Expect(s.Regions).To(gomega.BeEmpty())
}

func TestPlacesAreRead(t *testing.T) {
	g := gomega.NewWithT(t)
	s, err := crsite.Parse("boot.toml", []byte(validSettings+"warmratio = 1.5\nwarmslack = 8\n\n[regions]\n\"tokyo-a\" = \"tokyo\"\n"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Bounds.WarmupRatio).To(gomega.Equal(1.5))
	g.Expect(s.Bounds.WarmupSlack).To(gomega.Equal(8.0))
	g.Expect(s.Regions).To(gomega.Equal(crregion.Map{"tokyo-a": "tokyo"}))
}

func TestHeadLimitIsRead(t *testing.T) {
	g := gomega.NewWithT(t)
	s, err := crsite.Parse("boot.toml", []byte(strings.Replace(validSettings, "memory = 284", "memory = 284\nheadbytes = 65536", 1)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Limits.HeadBytes).To(gomega.Equal(65536))
	_, err = crsite.Parse("boot.toml", []byte(strings.Replace(validSettings, "memory = 284", "headbytes = 0", 1)))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("headbytes")))
}

func TestQuotaAndFirstStartAreRead(t *testing.T) {
	g := gomega.NewWithT(t)
	s, err := crsite.Parse("boot.toml", []byte(validSettings))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.First).To(gomega.BeFalse())
	g.Expect(s.Bounds.QuotaWindow()).To(gomega.Equal(5 * time.Second))
	g.Expect(s.Bounds.QuotaOverage).To(gomega.Equal(0.25))
	s, err = crsite.Parse("boot.toml", []byte("first = true\n"+validSettings+"quotatime = 2.5\nquotaover = 0.1\n"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.First).To(gomega.BeTrue())
	g.Expect(s.Bounds.QuotaWindow()).To(gomega.Equal(2500 * time.Millisecond))
	g.Expect(s.Bounds.QuotaOverage).To(gomega.Equal(0.1))
}

// A target leaves just as the store recovers. Its missing record looks like one that
// expired during the outage, and must be dropped before the target exits.
func TestMissingRecordTTLIsShorterThanDrain(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, drain := range []int{1000, 2000, 2500, 9000} {
		ttl := crsite.Bounds{DrainMillis: drain}.MissingRecordTTL()
		g.Expect(ttl).To(gomega.BeNumerically("<=", time.Duration(drain)*time.Millisecond-300*time.Millisecond))
		g.Expect(ttl).To(gomega.BeNumerically("<=", 2200*time.Millisecond))
	}
}

func TestInvalidSettingsAreReported(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"syntax":       {`domain = "a"`, `domain = `, "line 4"},
		"unknown key":  {`domain = "a"`, `zone = "a"`, "zone"},
		"type":         {`memory = 284`, `memory = "much"`, "line 19"},
		"address":      {`address = "10.1.0.5"`, `address = "here"`, "address"},
		"no service":   {`service = "s1"`, `service = ""`, "service: missing"},
		"no port":      {`caller = "10.1.0.5:8402"`, `caller = "10.1.0.5"`, "listen.caller"},
		"no host":      {`ports = [7660, 7675]`, "host = \"here\"\nports = [7660, 7675]", "listen.host"},
		"one port":     {`[7660, 7675]`, `[7660]`, "listen.ports"},
		"no grace":     {`grace = 6`, `grace = 0`, "bounds"},
		"no quotatime": {`grace = 6`, "grace = 6\nquotatime = 0", "quotatime"},
		"low overage":  {`grace = 6`, "grace = 6\nquotaover = -1", "quotaover"},
		"low ratio":    {`grace = 6`, "grace = 6\nwarmratio = 0.5", "warmratio"},
		"low slack":    {`grace = 6`, "grace = 6\nwarmslack = -1", "warmslack"},
		"no region":    {`[bounds]`, "[regions]\na = \"\"\n[bounds]", "regions.a"},
		"region type":  {`[bounds]`, "[regions]\na = 7\n[bounds]", "line 22"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, err := crsite.Parse("boot.toml", []byte(strings.Replace(validSettings, c.old, c.new, 1)))
			g.Expect(err).To(gomega.MatchError(gomega.And(gomega.ContainSubstring("boot.toml"), gomega.ContainSubstring(c.want))))
		})
	}
}

// With network address translation, peers connect to one address and the daemon
// listens on another.
func TestPeerListenHostBehindNAT(t *testing.T) {
	g := gomega.NewWithT(t)
	s, err := crsite.Parse("boot.toml", []byte(validSettings))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.PeerListenHost()).To(gomega.Equal("10.1.0.5"))
	s, err = crsite.Parse("boot.toml", []byte(strings.Replace(validSettings, `ports =`, "host = \"10.9.0.5\"\nports =", 1)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.PeerListenHost()).To(gomega.Equal("10.9.0.5"))
	g.Expect(s.Address).To(gomega.Equal("10.1.0.5"))
}
