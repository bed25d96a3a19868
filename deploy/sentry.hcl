# Orders of one sentry. `scalechute check deploy/sentry.hcl` checks them; docs/operating.md tells what each means.

sentry {
  position = 0
  zone     = "harbour"
  listen   = "127.0.0.1:7400"
  metrics  = "127.0.0.1:7410"
  memory   = "sentry-0.list"
  list     = "127.0.0.1:7420"
  desk     = "127.0.0.1:7430"

  peer "1" {
    address = "127.0.0.1:7401"
  }
}

deployment {
  sentries = 2
  zones    = ["harbour", "hill"]
}

profile "reading" {
  due_time    = "750ms"
  outer_limit = "2500ms"
  value       = 1
  late_share  = 0.2
  repeat      = "redoable"
}

profile "excursion" {
  due_time    = "600ms"
  outer_limit = "2500ms"
  value       = 5
  repeat      = "labelled"
  scope       = "all"
  window      = "1500ms"
}

profile "handover" {
  due_time    = "400ms"
  outer_limit = "1s"
  value       = 3
  repeat      = "irreversible"
}

allowed {
  hand_offs     = 3
  cancel        = true
  copies        = false
  messages      = true
  connect_limit = "250ms"
  idle_close    = "30s"
}

list {
  ask        = true
  ask_within = "10s"
}

rules {
  answer_grace  = "20ms"
  drain_grace   = "2s"
  cold_from     = 0.4
  warm_up       = "4900ms"
  fall_multiple = 4
  fall_span     = "2s"
}

trial {
  control      = "any"
  layout       = "beside"
  stage_shares = [0.1, 0.4, 1]
  stage_caps   = [0.2, 0.6, 1]
  free         = 2
  window       = "4s"
  forward_only = true
  on_votes     = 1
  back_votes   = 1
  vote_life    = "6s"
  vote_wait    = "800ms"
  bake         = "3s"
}

prices {
  behind = 0.65
  harm   = 2
  cross  = 0.04
  waste  = 0.05
}

# Routes, for transactions that carry attributes only (docs/routes.md). `scalechute match test deploy/sentry.hcl` tries the
# cases; the sentry takes changed routes at SIGHUP or within a second.

set "depot" {
  members = ["kingston", "mandeville"]
}

measure "temperature" {
  unit "celsius" {}
  unit "fahrenheit" {
    scale  = 0.5555555555555556
    offset = -17.77777777777778
  }
}

attribute "depot" {
  type = "depot"
}
attribute "truck" {
  type = "text"
  most = 32
}
attribute "signed" {
  type           = "flag"
  may_be_missing = true
}
attribute "temp" {
  type           = "temperature"
  may_be_missing = true
}

route "handovers" {
  when    = "signed"
  key     = "truck"
  profile = "handover"
}

route "excursions" {
  when    = "temp > celsius(8) || temp < celsius(2)"
  key     = "truck"
  profile = "excursion"
}

route "the rest" {
  when    = "true"
  key     = "truck"
  profile = "reading"
}

case "too warm" {
  with  = { depot = "kingston", truck = "t-17", temp = "50 fahrenheit" }
  route = "excursions"
  key   = "t-17"
}
case "signed, however warm" {
  with  = { depot = "kingston", truck = "t-17", temp = 10, signed = true }
  route = "handovers"
}
case "a depot that nobody knows" {
  with    = { depot = "moon", truck = "t-17" }
  misfits = ["depot"]
  route   = "none"
}
