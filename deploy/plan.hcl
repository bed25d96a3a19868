# A release plan. `scalechute plan check deploy/plan.hcl` checks it and says when each wave can begin at the earliest.

plan "readings 12" {
  build    = 12
  sentries = 4
  profiles = ["reading", "handover"]
  labels = {
    team = "cold chain"
  }
}

# Waves begin in windows, by the clock on the wall of their zone; a wave that has begun goes on outside of them.
window "office hours" {
  days   = ["mon", "tue", "wed", "thu"]
  from   = "09:00"
  to     = "15:00"
  zone   = "America/Jamaica"
  except = ["2026-12-24 to 2027-01-03"]
}

group "owners" {
  members = ["release-1", "release-2", "release-3"]
}

approval "two of the owners" {
  group = "owners"
  count = 2
  valid = "8h"
}

wave "first" {
  share      = 0.1
  cap        = 0.2
  bake       = "30m"
  back_votes = 2
  guard      = ["handover"]
  windows    = ["office hours"]
}

wave "half" {
  share     = 0.5
  cap       = 0.6
  bake      = "6h"
  on_votes  = 3
  guard     = ["handover"]
  windows   = ["office hours"]
  approvals = ["two of the owners"]
}

wave "whole" {
  share   = 1
  cap     = 1
  bake    = "2h"
  windows = ["office hours"]
}
