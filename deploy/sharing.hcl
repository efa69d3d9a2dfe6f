# Operators' settings with which several controllers own machines at once: --operator deploy/sharing.hcl on every controller.
# Names of controllers and teams must be those of the platform's settings; every team belongs to one share.
#
# To follow moves of machines over the controllers, add: tracing { file = "/var/log/mintfield/spans.jsonl" }
sharing {
  share "slicing" {
    home    = "plot-0"
    teams   = ["print-floor"]
    floor   = 4
    ceiling = 40
  }
  share "payroll" {
    home    = "plot-1"
    teams   = ["folha-ops"]
    floor   = 8
    ceiling = 60
    # While both want more machines than there are, payroll is due two of three.
    weight  = 2
  }
}
