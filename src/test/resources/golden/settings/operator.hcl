log {
  format = "json"
}
tuning {
  leader_lease_ms  = 5000
  headroom         = 1.25
  idle_return_ms   = 90000
  silent_return_ms = 30000
}
fleet {
  machines = 4000
}
tracing {
  file = "/var/log/spans.jsonl"
}
sharing {
  share "s0" {
    home    = "plot-0"
    teams   = ["millers", "weavers"]
    floor   = 4
    ceiling = 40
    weight  = 2.5
  }
  share "s1" {
    home  = "plot-1"
    teams = ["bakers"]
  }
}
