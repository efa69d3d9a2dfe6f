# Operators' settings with which several controllers own machines at once: --operator deploy/sharing.hcl on every controller.
# Names of controllers and teams must be those of the platform's settings; every team belongs to one share.
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
  }
}
