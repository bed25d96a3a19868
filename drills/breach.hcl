# A drill of about ten seconds in which each rule can be broken: workers of the earlier build drain, one of them crashes and
# restarts cold, and a good build stays on trial. `scalechute drill drills/breach.hcl --break RULE` has the first sentry
# break that rule on purpose. The audit must report that rule and no other.

drill {
  length   = "9s"
  seed     = 7
  slack    = "60ms"
}

fleet {
  workers   = 12
  cores     = 2
  spread    = 0.15
  warm_up   = "1500ms"
  cold_from = 0.5
  boot      = "300ms"
  list_late = "400ms"
  news_late = "200ms"
  link      = "1ms"
}

load {
  per_second = 240
  keys       = 800
  zipf       = 0.8
  retries    = 2
  backoff    = "30ms"
  try_share  = 0.9
  leaves     = 0

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

release "11" {
  at = "1s"
}

trouble "crash" {
  at    = "2s"
  for   = "1500ms"
  count = 1
  first = 10
}

deployment {
  sentries = 3
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
  drain_grace   = "500ms"
  cold_from     = 0.4
  warm_up       = "1500ms"
  fall_multiple = 4
  fall_span     = "1s"
}

trial {
  control      = "any"
  layout       = "in_place"
  stage_shares = [0.3, 0.5, 1]
  stage_caps   = [0.25, 0.6, 1]
  free         = 2
  window       = "2s"
  forward_only = true
  on_votes     = 2
  back_votes   = 1
  vote_life    = "4s"
  vote_wait    = "800ms"
  bake         = "20s"
}

prices {
  cross = 0.04
  harm  = 2
}
