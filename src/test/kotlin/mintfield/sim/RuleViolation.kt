package mintfield.sim

/** A rule of the protocol that the simulated cluster violated; the message begins with the key of the rule, such as `ran_twice`. */
class RuleViolation(
    message: String,
) : AssertionError(message)
