package platform

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"scalechute/internal/input"
	"scalechute/internal/memory"
	"scalechute/logic"
)

// Guards against commands in part that together take more memory than there is: the oldest is refused, with every reply that its
// client is owed before it, and the newest is served once its rest has come.
func TestUnfinishedCommandsShareMemory(t *testing.T) {
	const clientCount, partBytes = 20, 60_000
	release := make(chan struct{})
	worker := startWorker(t, func(c net.Conn, _ int, words []string) {
		if words[2] == "open" {
			<-release
		}
		io.WriteString(c, newAnswer("v-"+words[2]))
	})
	env := newEnv(t, options{workers: []string{worker}, decide: handOffToFirstWorker(func(*input.Input) {}),
		replacements: append([]string{`"memory_mb":64`, `"memory_mb":4`}, longDeadline...)})
	budget := env.p.memory.Budget(memory.PartialCommands)
	oldest := env.dial(t)
	oldest.send(longReadCmd("open"))
	var clients []testClient
	for i := range clientCount {
		c := oldest
		if i > 0 {
			c = env.dial(t)
		}
		clients = append(clients, c)
		before := budget.Used() + budget.Evictions()
		c.send(bodyCmd(fmt.Sprint("part-", i))[:partBytes])
		env.waitFor("the part of a command", func() bool { return budget.Used()+budget.Evictions() > before })
		env.waitFor("room", func() bool { return budget.Remaining() >= 0 })
	}
	if most := budget.Limit() + 2*maxValueBytes; budget.Peak() > most {
		t.Errorf("commands in part held %d bytes, expected at most %d", budget.Peak(), most)
	}
	close(release)
	oldest.expectReply("v-open")
	oldest.expectReply("-BUSY")
	oldest.expectReply("closed")
	newest := clients[clientCount-1]
	newest.send(bodyCmd(fmt.Sprint("part-", clientCount-1))[partBytes:])
	newest.expectReply("v-part-")
	env.waitFor("the end of the request", func() bool { return env.countEnded(logic.Answered) == 2 })
}

// Guards against a reset that takes the refusal away: the rest of a refused command arrives after the refusal was sent.
func TestRestOfRefusedCommandIsIgnored(t *testing.T) {
	env := newEnv(t, options{workers: []string{startWorker(t, answerValue)}, replacements: []string{`"memory_mb":64`, `"memory_mb":1`}})
	budget := env.p.memory.Budget(memory.PartialCommands) // holds one command
	refused := env.dial(t)
	refused.send(bodyCmd("refused")[:50_000])
	env.waitFor("its part", func() bool { return budget.Used() > 0 })
	env.dial(t).send(bodyCmd("other")[:50_000])
	env.waitFor("its refusal", func() bool { return budget.Evictions() == 1 })
	refused.send(bodyCmd("refused")[50_000:])
	refused.expectReply("-BUSY")
	refused.expectReply("closed")
}

// bodyCmd encodes a request of the deduplicated class note with a body of the largest size, with a timeout that longDeadline admits.
func bodyCmd(id string) string {
	return encode("Q.DO", "key-"+id, id, "c=note,t=acme,d=20000,k=token-"+id, strings.Repeat("b", maxValueBytes))
}
