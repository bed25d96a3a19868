package platform

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"scalechute/internal/input"
	"scalechute/logic"
)

// Guards against the loss of a release status, and of the lower cap in it, with an answer to a vote that comes after the vote has
// timed out. An answer that tells nothing but the result is ignored then.
func TestLateVoteAnswerTellsStatus(t *testing.T) {
	const answerWait = 300 * time.Millisecond // answer_wait_ns of the test configuration
	controlPlane := serveConns(t, func(c net.Conn) {
		answers := []string{"ERR out_of_date", "OK 8 0 Aborting 0 40"}
		for in := bufio.NewScanner(c); in.Scan(); {
			switch {
			case in.Text() == "WATCH":
				io.WriteString(c, "OK\r\n* news 8 0 Progressing 0.5 0\r\n")
			case len(answers) > 0:
				time.Sleep(answerWait + 200*time.Millisecond)
				io.WriteString(c, answers[0]+"\r\n")
				answers = answers[1:]
			}
		}
	})
	votes := 0
	env := newEnv(t, options{controlPlane: controlPlane, decide: func(in *input.Input) (out logic.Result) {
		if in.Kind == input.ReleaseUpdated && in.ReleaseStatus.Build == 8 && votes == 0 {
			votes = 2
			out.Votes = []logic.Vote{{Build: 8, Verdict: logic.Advance}, {Build: 8, Verdict: logic.Advance}}
		}
		return out
	}})
	rollingBack := func() int {
		for i, status := range env.statuses {
			if status.Phase == logic.RollingBack {
				return i
			}
		}
		return -1
	}
	env.waitFor("the status in the late answer", func() bool { return rollingBack() >= 0 })
	env.mu.Lock()
	defer env.mu.Unlock()
	position, timedOut := rollingBack(), 0
	for _, status := range env.statuses[:position] {
		switch status.VoteResult {
		case logic.VoteTimedOut:
			timedOut++
		case logic.VoteObsolete:
			t.Error("the late result of a vote was reported")
		}
	}
	if status := env.statuses[position]; status.Cap != 0 || status.VoteResult != logic.NoVote || timedOut != 2 {
		t.Errorf("status %+v after %d time-outs, expected the cap 0 without a result after 2", status, timedOut)
	}
}
