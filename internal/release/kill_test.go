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

var kills = flag.Int("kills", 25, "how often the process that stores a release is killed")

// The test binary is also the process that is killed: it applies events as fast as it can. After each event is on disk it
// prints the number of events and the state of the release.
func TestMain(m *testing.M) {
	if file := os.Getenv("SCALECHUTE_STORE"); file != "" {
		p, err := Load("../../deploy/plan.hcl", now)
		if err != nil {
			panic(err)
		}
		r := plan.New(p, time.Hour)
		s, err := OpenStore(file, r, 16)
		if err != nil {
			fmt.Println("error", err)
			os.Exit(1)
		}
		random, grantNumber := rand.New(rand.NewSource(time.Now().UnixNano())), int(s.EventCount())
		fmt.Println("at", s.EventCount(), stateJSON(r))
		for i := 0; ; i++ {
			if _, _, err := s.Apply(randomEvent(random, now.Add(time.Duration(s.EventCount())*time.Minute), &grantNumber, r)); err != nil {
				panic(err)
			}
			fmt.Println("at", s.EventCount(), stateJSON(r))
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// A process that is killed at any time restarts with the state that it printed last, or a later one, never an earlier one.
// An earlier one would let a wave or an approval occur twice. The flag -kills sets the number of kills; 300 take about 15 s.
func TestKills(t *testing.T) {
	file := filepath.Join(t.TempDir(), "state")
	random := rand.New(rand.NewSource(time.Now().UnixNano()))
	reportedEvents, reportedState := uint64(0), ""
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
		steps, first := 1+random.Intn(20), true
		timer := time.AfterFunc(5*time.Second, func() { _ = cmd.Process.Kill() })
		for scanner := bufio.NewScanner(out); scanner.Scan(); {
			word, rest, _ := strings.Cut(scanner.Text(), " ")
			var at uint64
			var text string
			if _, err := fmt.Sscan(rest, &at, &text); word != "at" || err != nil {
				t.Fatalf("kill %d: %s", n, scanner.Text())
			}
			if first && (at < reportedEvents || at == reportedEvents && reportedState != "" && text != reportedState) {
				t.Fatalf("kill %d: restarted with %d %s\nafter it printed %d %s", n, at, text, reportedEvents, reportedState)
			}
			first, reportedEvents, reportedState = false, at, text
			if steps--; steps == 0 { // the process goes on meanwhile, so the kill comes at any point of an event
				time.AfterFunc(time.Duration(random.Intn(3000))*time.Microsecond, func() { _ = cmd.Process.Kill() })
			}
		}
		_ = cmd.Wait()
		timer.Stop()
		if first {
			t.Fatalf("kill %d: the process printed nothing", n)
		}
	}
	r := plan.New(examplePlan(t), time.Hour)
	s, err := OpenStore(file, r, 16)
	if err != nil {
		t.Fatal(err)
	}
	if s.EventCount() < reportedEvents {
		t.Errorf("%d events at the end, expected at least the %d printed", s.EventCount(), reportedEvents)
	}
	t.Logf("%d kills, %d events, wave %d, phase %d", *kills, s.EventCount(), r.State.Wave, r.State.Phase)
	_ = s.Close()
}
