# A drill of 10 s for CI: a sentry killed with open transactions, one paused for 3 s, all restarted in turn, workers that
# crash, a zone that is cut off, a bad build and reloads.

include = ["routes.hcl"]

drill {
  length   = "10s"
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
  per_second = 200
  keys       = 800
  attributes = true
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

trouble "bad_build" {
  at     = "1s"
  build  = "11"
  errors = 0.6
}

trouble "balancer_crash" {
  at    = "1500ms"
  for   = "800ms"
  first = 1
}

trouble "balancer_stall" {
  at    = "3s"
  for   = "3s"
  first = 0
}

trouble "crash" {
  at    = "3s"
  for   = "2s"
  count = 2
  first = 4
}

trouble "zone_cut" {
  at   = "6s"
  for  = "1s"
  zone = "hill"
}

trouble "balancer_roll" {
  at    = "7500ms"
  for   = "100ms"
  count = 3
}

trouble "reload" {
  at    = "1s"
  for   = "4s"
  count = 1
  first = 2
  delay = "200ms"
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
  copies        = false
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
