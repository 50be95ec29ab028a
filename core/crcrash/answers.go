package crcrash

import "sync"

// maxAnswers bounds the memory of Answers, in requests.
const maxAnswers = 4096

// Answers remembers which requests the process of a target has answered. Such a request does not end
// the process, so if it runs when the process ends, there is another reason. About other processes an
// answer tells nothing: they may be of another version, or in another state.
//
// Answers is safe for concurrent use. It remembers the requests that were answered last.
type Answers struct {
	mu      sync.Mutex
	process generations // the present one
	ended   generations // the one before it
}

// NewAnswers returns the answers of a process that has given none.
func NewAnswers() *Answers { return &Answers{} }

// Record records an answer of the present process.
func (a *Answers) Record(k Key) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.process.add(k)
}

// EndProcess records that the process has ended.
func (a *Answers) EndProcess() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.process, a.ended = generations{}, a.process
}

// Survives reports whether the present process has answered a request.
func (a *Answers) Survives(k Key) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.process.has(k)
}

// Survived reports whether the process that ended last had answered a request.
func (a *Answers) Survived(k Key) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ended.has(k)
}

// generations is a set of requests. It keeps two generations of maxAnswers/2, and drops the older one
// when the younger is full.
type generations struct {
	young, old map[Key]struct{}
}

func (g *generations) add(k Key) {
	if g.young == nil || len(g.young) >= maxAnswers/2 {
		g.old, g.young = g.young, make(map[Key]struct{})
	}
	g.young[k] = struct{}{}
}

func (g *generations) has(k Key) bool {
	_, young := g.young[k]
	_, old := g.old[k]
	return young || old
}
