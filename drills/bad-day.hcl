# A drill of 24 s with many faults: 4 sentries and 16 workers in three zones, a bad build, a sentry killed with open
# transactions, workers that crash, a zone that is cut off, slow workers, a paused sentry and reloads. `scalechute drill
# drills/bad-day.hcl` runs it, runs it again with workers chosen at random, and audits the rules in both runs.

include = ["routes.hcl"]

drill {
  length   = "24s"
  seed     = 7
  slack    = "60ms"
  baseline = true
}

fleet {
  workers   = 16
  cores     = 2
  spread    = 0.15
  warm_up   = "2s"
  cold_from = 0.5
  boot      = "300ms"
  list_late = "400ms"
  news_late = "200ms"
  link      = "1ms"
}

load {
  per_second = 420
  keys       = 800
  attributes = true
  zipf       = 0.8
  retries    = 2
  backoff    = "30ms"
  try_share  = 0.9
  leaves     = 0.01

  mix "reading" {
    share = 0.55
    work  = "25ms"
  }
  mix "excursion" {
    share = 0.25
    work  = "40ms"
  }
  mix "handover" {
    share = 0.20
    work  = "30ms"
  }
}

trouble "bad_build" {
  at     = "3s"
  build  = "11"
  errors = 0.5
}

trouble "balancer_crash" {
  at    = "6s"
  for   = "1500ms"
  count = 1
  first = 1
}

trouble "crash" {
  at    = "9s"
  for   = "4s"
  count = 3
  first = 4
}

release "12" {
  at    = "11s"
  speed = 1.05
}

trouble "zone_cut" {
  at   = "14s"
  for  = "3s"
  zone = "hill"
}

trouble "slow" {
  at    = "18s"
  for   = "3s"
  count = 2
  first = 8
  size  = 4
}

trouble "balancer_stall" {
  at    = "20s"
  for   = "1s"
  count = 1
  first = 2
}

trouble "reload" {
  at    = "1s"
  for   = "20s"
  count = 1
  first = 3
  delay = "250ms"
}

deployment {
  sentries = 4
  zones    = ["harbour", "hill", "lagoon"]
}

profile "reading" {
  due_time    = "300ms"
  outer_limit = "1200ms"
  value       = 1
  late_share  = 0.2
  repeat      = "redoable"
}

profile "excursion" {
  due_time    = "400ms"
  outer_limit = "1500ms"
  value       = 4
  repeat      = "labelled"
  scope       = "all"
  window      = "1s"
}

profile "handover" {
  due_time    = "400ms"
  outer_limit = "1500ms"
  value       = 3
  repeat      = "irreversible"
}

account "north" {
  share = 0.6
  quota = 1000
}

account "south" {
  share = 0.4
  quota = 1000
}

allowed {
  hand_offs     = 3
  copies        = true
  messages      = true
  connect_limit = "200ms"
  idle_close    = "10s"
}

list {
  ask        = true
  ask_within = "4s"
}

rules {
  answer_grace  = "100ms"
  drain_grace   = "1s"
  cold_from     = 0.4
  warm_up       = "2500ms"
  fall_multiple = 4
  fall_span     = "1s"
}

trial {
  control      = "any"
  layout       = "beside"
  stage_shares = [0.2, 0.5, 1]
  stage_caps   = [0.25, 0.6, 1]
  free         = 2
  window       = "2s"
  forward_only = true
  on_votes     = 2
  back_votes   = 1
  vote_life    = "4s"
  vote_wait    = "800ms"
  bake         = "1s"
}

prices {
  cross = 0.04
  harm  = 2
}
