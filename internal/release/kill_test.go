package release

import (
	"bufio"
	"flag"
	"fmt"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"scalechute/internal/plan"
)

var kills = flag.Int("kills", 25, "how often the process that keeps a release is killed")

// The test binary is the process that is killed: it steps as fast as it can and says of each step, once it is on disk,
// which one it was and how the release stands.
func TestMain(m *testing.M) {
	if file := os.Getenv("SCALECHUTE_STORE"); file != "" {
		p, err := Load("../../deploy/plan.hcl", now)
		if err != nil {
			panic(err)
		}
		r := plan.New(p, time.Hour)
		s, err := OpenStore(file, r, 16)
		if err != nil {
			fmt.Println("fault", err)
			os.Exit(1)
		}
		chance, names := rand.New(rand.NewSource(time.Now().UnixNano())), int(s.EventCount())
		fmt.Println("at", s.EventCount(), state(r))
		for i := 0; ; i++ {
			if _, _, err := s.Apply(draw(chance, now.Add(time.Duration(s.EventCount())*time.Minute), &names, r)); err != nil {
				panic(err)
			}
			fmt.Println("at", s.EventCount(), state(r))
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// Killed at any moment, it comes back to where it said it was, or further, never less; and no wave, no approval comes
// twice. -kills says how often; 300 take about 15 s.
func TestKills(t *testing.T) {
	file := filepath.Join(t.TempDir(), "state")
	chance := rand.New(rand.NewSource(time.Now().UnixNano()))
	said, line := uint64(0), ""
	for n := range *kills {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "SCALECHUTE_STORE="+file)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		steps, first := 1+chance.Intn(20), true
		timer := time.AfterFunc(5*time.Second, func() { _ = cmd.Process.Kill() })
		for in := bufio.NewScanner(out); in.Scan(); {
			word, rest, _ := strings.Cut(in.Text(), " ")
			var at uint64
			var text string
			if _, err := fmt.Sscan(rest, &at, &text); word != "at" || err != nil {
				t.Fatalf("kill %d: %s", n, in.Text())
			}
			if first && (at < said || at == said && line != "" && text != line) {
				t.Fatalf("kill %d: came back to %d %s\nafter it said %d %s", n, at, text, said, line)
			}
			first, said, line = false, at, text
			if steps--; steps == 0 { // while it goes on: the kill comes at any point of a step
				time.AfterFunc(time.Duration(chance.Intn(3000))*time.Microsecond, func() { _ = cmd.Process.Kill() })
			}
		}
		_ = cmd.Wait()
		timer.Stop()
		if first {
			t.Fatalf("kill %d: it said nothing", n)
		}
	}
	r := plan.New(examplePlan(t), time.Hour)
	s, err := OpenStore(file, r, 16)
	if err != nil {
		t.Fatal(err)
	}
	if s.EventCount() < said {
		t.Errorf("%d events at the end, %d said", s.EventCount(), said)
	}
	t.Logf("%d kills, %d events, wave %d, phase %d", *kills, s.EventCount(), r.State.Wave, r.State.Phase)
	_ = s.Close()
}
