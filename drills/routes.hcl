# The routes of the drills whose transactions carry only attributes. They map each transaction to the profile, account and key
# that its client intends.

set "kind" {
  members = ["reading", "excursion", "handover"]
}

set "region" {
  members = ["north", "south"]
}

measure "temperature" {
  unit "celsius" {}
  unit "fahrenheit" {
    scale  = 0.5555555555555556
    offset = -17.77777777777778
  }
}

attribute "kind" {
  type = "kind"
}
attribute "truck" {
  type = "text"
  most = 32
}
attribute "region" {
  type           = "region"
  may_be_missing = true
}
attribute "temp" {
  type           = "temperature"
  may_be_missing = true
}
attribute "urgent" {
  type           = "flag"
  may_be_missing = true
}
attribute "size" {
  type           = "whole"
  may_be_missing = true
}
attribute "age" {
  type           = "span"
  may_be_missing = true
}
attribute "legs" {
  type           = "temperature"
  list           = 8
  may_be_missing = true
}

let "excursion" {
  is = "kind == kind.excursion"
}

route "never" {
  when    = "excursion && temp > fahrenheit(1000) && legs.exists(x, x < temp)"
  key     = "'never'"
  profile = "reading"
}
route "reading north" {
  when    = "kind == kind.reading && region == region.north"
  key     = "truck"
  profile = "reading"
  account = "north"
}
route "reading south" {
  when    = "kind == kind.reading && region == region.south"
  key     = "truck"
  profile = "reading"
  account = "south"
}
route "excursion north" {
  when    = "excursion && region == region.north"
  key     = "truck"
  profile = "excursion"
  account = "north"
}
route "excursion south" {
  when    = "excursion && region == region.south"
  key     = "truck"
  profile = "excursion"
  account = "south"
}
route "handover north" {
  when    = "kind == kind.handover && region == region.north"
  key     = "truck"
  profile = "handover"
  account = "north"
}
route "handover south" {
  when    = "kind == kind.handover && region == region.south"
  key     = "truck"
  profile = "handover"
  account = "south"
}

case "an excursion of the south" {
  with  = { kind = "excursion", truck = "t1", region = "south", temp = "50 fahrenheit", legs = [4, 9] }
  route = "excursion south"
  key   = "t1"
}
case "of no region" {
  with  = { kind = "reading", truck = "t1" }
  route = "none"
}
