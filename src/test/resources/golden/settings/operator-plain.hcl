log {
  format = "plain"
}
