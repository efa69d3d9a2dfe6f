package mintfield.sim

/** The simulated cluster broke a rule of the protocol; the message begins with the rule's key, such as `ran_twice`. */
class RuleViolation(
    message: String,
) : AssertionError(message)
