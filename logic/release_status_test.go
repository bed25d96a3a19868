package logic

import "testing"

// Guards against a release status that was sent before the last one and arrives after it: the release would go back for the
// sentry. Keys that the new build has answered would go to the earlier one, and a build that is taken back would get
// transactions again.
func TestOlderReleaseStatusIsIgnored(t *testing.T) {
	onTrial := ReleaseStatus{Valid: true, Build: 11, Phase: OnTrial, Cap: 1, Stage: 1}
	for name, c := range map[string]struct {
		latest, older ReleaseStatus
		wantTrial     bool // hand-offs go to the new build
	}{
		"on trial after released":     {ReleaseStatus{Valid: true, Build: 11, Phase: Released, Cap: 1, Stage: 1}, onTrial, true},
		"on trial after rolling back": {ReleaseStatus{Valid: true, Build: 11, Phase: RollingBack, Stage: 1}, onTrial, false},
		"on trial after withdrawn":    {ReleaseStatus{Valid: true, Build: 11, Phase: Withdrawn, Stage: 1}, onTrial, false},
		"earlier build":               {ReleaseStatus{Valid: true, Build: 11, Phase: Released, Cap: 1, Stage: 1}, ReleaseStatus{Valid: true, Build: 10, Phase: Released, Cap: 1}, true},
	} {
		h := newTrialHarness(4, 4)
		h.now += 10 * second
		h.updateRelease(onTrial)
		h.sentry.trialSlots = 100
		h.arrive("first", "key")
		workers := h.handOffs("first")
		if len(workers) != 1 || !isTrialWorker(workers[0]) {
			t.Fatalf("%s: found hand-offs to %v, expected one to the trial", name, workers)
		}
		h.end("first", 0, workers[0], Answered)
		h.now += second
		h.updateRelease(c.latest)
		h.now += 2000
		h.updateRelease(c.older)
		h.sentry.trialSlots = min(h.sentry.trialSlots, 10) // few keys would go to the trial by their slots
		for _, key := range []Key{"key", "other", "third"} {
			h.arrive("after-"+string(key), key)
			for _, w := range h.handOffs("after-" + string(key)) {
				if isTrialWorker(w) != c.wantTrial {
					t.Errorf("%s: found key %s handed off to %s, expected the new build: %v", name, key, w, c.wantTrial)
				}
			}
		}
	}
	h := newTrialHarness(4, 4)
	h.updateRelease(onTrial)
	h.updateRelease(ReleaseStatus{Valid: true, Build: 11, Phase: OnTrial, Cap: 0.5, Stage: 0})
	if release := h.sentry.release; release.Stage != 1 || release.Cap != 0.5 {
		t.Errorf("found stage %d with cap %v, expected stage 1 with the lower cap, which was told last", release.Stage, release.Cap)
	}
}
