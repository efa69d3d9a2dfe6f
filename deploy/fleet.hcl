# Operators' settings for a large fleet: --operator deploy/fleet.hcl. What is too small for it is said at the start.
fleet {
  machines = 4000
}
