# The language of routes, by examples. `scalechute match test docs/language.hcl` tries all of them; docs/routes.md tells
# how an operator works with it. Expressions may stand in quotes, with texts in them in single ones, or in a heredoc.

profile "reading" {}
profile "delivery" {}
account "own" {}
account "partner" {}

# The most steps that one expression may take: each comparison, name and operator is one, each eight bytes of a text that
# is compared, joined or hashed one more, and a loop costs its body times the greatest length of its list.
matching {
  cost_limit = 600
}

# A set is closed: another member does not compare with it, and comes as missing. Its members read kind.reefer.
set "depot" {
  members = ["kingston", "mandeville", "may_pen"]
}

# A measure has units; a figure reads celsius(4.5) or fahrenheit(40). It is kept in the first unit, which has no scale:
# value x scale + offset is in the first unit. Measures with other names do not compare, nor does a bare number.
measure "temperature" {
  unit "celsius" {}
  unit "fahrenheit" {
    scale  = 0.5555555555555556
    offset = -17.77777777777778
  }
}

measure "weight" {
  unit "kg" {}
  unit "tonne" {
    scale = 1000
  }
}

# Attributes are what a transaction carries. One that may not be missing must come: without it no route takes it.
attribute "depot" {
  type = "depot"
}
attribute "id" { # a text of at most so many bytes; a longer one comes as missing
  type           = "text"
  most           = 32
  may_be_missing = true
}
attribute "size" {
  type           = "whole"
  may_be_missing = true
}
attribute "urgent" {
  type           = "flag"
  may_be_missing = true
}
attribute "age" {
  type           = "span"
  may_be_missing = true
}
attribute "temp" {
  type           = "temperature"
  may_be_missing = true
}
attribute "load" {
  type           = "weight"
  may_be_missing = true
}
attribute "stops" { # a list of at most so many
  type           = "depot"
  list           = 6
  may_be_missing = true
}
attribute "readings" {
  type           = "temperature"
  list           = 8
  may_be_missing = true
}

# A named expression stands for its text, wherever it stands and in whatever order the file has them.
let "cold" {
  is = "temp < celsius(8)"
}
let "cold_chain" {
  is = "cold && readings.all(r, r < celsius(10))"
}
let "by_truck" {
  is = "given(id) ? id : 'unknown'"
}

# Routes are tried in order; the first whose `when` is true gives profile, account and key. The key decides which build a
# transaction goes to: one key, one build.

route "comparison" { # ==, != of anything but lists; <, <=, >, >= of whole numbers, spans, texts and measures
  when    = "size == 1 || size != 2 && size >= 10 && size < 12"
  key     = "by_truck"
  profile = "reading"
}
case "equal" {
  with  = { depot = "kingston", size = 1, id = "a" }
  route = "comparison"
  key   = "a"
}
case "within a range" {
  with  = { depot = "kingston", size = 11 }
  route = "comparison"
  key   = "unknown"
}

route "membership" { # in a list of constants
  when    = "size in [3, 5] || id in ['x1', 'x2']"
  key     = "id"
  profile = "reading"
}
case "a member" {
  with  = { depot = "kingston", size = 5, id = "x9" }
  route = "membership"
}

route "prefix" {
  when    = "id.startsWith('drop-')"
  key     = "hash(id)" # 16 hexadecimal digits, whatever its length
  profile = "delivery"
}
case "begins with" {
  with  = { depot = "kingston", id = "drop-17" }
  route = "prefix"
  key   = "ddf1f545ff06416c"
}

route "units" { # of one measure, in any of its units
  when    = "load > tonne(1.5) && temp >= fahrenheit(41)"
  key     = "id"
  profile = "delivery"
}
case "in its own unit" {
  with  = { depot = "may_pen", load = "1600 kg", temp = "5 celsius" }
  route = "units"
}
case "in another" {
  with  = { depot = "may_pen", load = "1.6 tonne", temp = "41 fahrenheit" }
  route = "units"
}

route "spans" { # "250ms", "1h30m"
  when    = "age > span('1m30s')"
  key     = "id"
  profile = "reading"
}
case "old" {
  with  = { depot = "may_pen", age = "91s" }
  route = "spans"
}

route "loops" { # any and all of an attribute's list, at most four within each other
  when    = "stops.exists(s, s == depot) && readings.exists(r, r > celsius(20))"
  key     = "id"
  profile = "delivery"
  account = "partner"
}
case "any of a list" {
  with  = { depot = "may_pen", stops = ["kingston", "may_pen"], readings = [4, 21] }
  route = "loops"
}

route "conditional" { # condition ? this : that, of anything with one type
  when    = "(urgent ? size > 100 : size > 1000)"
  key     = "(urgent ? 'u/' : 'n/') + id" # + joins texts
  profile = "delivery"
  account = "own"
}
case "urgent" {
  with  = { depot = "may_pen", urgent = true, size = 101, id = "t" }
  route = "conditional"
  key   = "u/t"
}
case "not urgent" {
  with  = { depot = "may_pen", urgent = false, size = 1001, id = "t" }
  route = "conditional"
  key   = "n/t"
}

route "heredoc" {
  when    = <<-EOT
    cold_chain
      && depot in [depot.kingston, depot.mandeville]
      && !urgent
  EOT
  key     = "id"
  profile = "delivery"
}
case "named, and over several lines" {
  with  = { depot = "mandeville", temp = 3, readings = [2, 3] }
  route = "heredoc"
}
case "one reading too warm" {
  with  = { depot = "mandeville", temp = 3, readings = [2, 11] }
  route = "missing"
}

# Missing: an attribute that did not come, or came and does not fit its type, makes every comparison, membership and prefix
# that it takes part in false. So size != 3 is false without a size, and !(size == 3) is true. As a flag it is false, in a
# key an empty text, and of a list that is missing neither any nor all holds.
route "missing" {
  when    = "!(size == 3) && !(size != 3) && !urgent"
  key     = "id"
  profile = "reading"
}
case "nothing but what must come" {
  with  = { depot = "kingston" }
  route = "missing"
  key   = ""
}
case "a text that is too long, a unit that nobody knows, a member of no set" {
  with    = { depot = "kingston", id = "012345678901234567890123456789012", temp = "3 kelvin", stops = ["moon"] }
  misfits = ["id", "temp", "stops"]
  route   = "missing"
}
case "without what must come" {
  with  = { size = 1 }
  route = "none"
}
case "no route" {
  with  = { depot = "kingston", urgent = true }
  route = "none"
}
