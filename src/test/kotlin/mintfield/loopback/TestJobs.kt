package mintfield.loopback

/** Job submissions in the JSON format of the user protocol. */
object TestJobs {
    /** Returns the request body of a submission. */
    fun json(
        id: String,
        tasks: Int,
        shape: String = "sweep",
        team: String = "floor",
        cpus: Double = 1.0,
        predecessors: List<String> = emptyList(),
        types: List<String>? = null,
        priority: String = "high",
    ) = """{"id":"$id","bench":"c","crew":"$team","shape":"$shape","urgency":"$priority","pieces":$tasks,"vcpus":$cpus,"cards":0,"memoryGb":1,
        "seedbag":"i","sizeGb":1,"breeds":${types?.joinToString(
        ",",
        "[",
        "]",
    ) { "\"$it\"" }},"awaits":${predecessors.joinToString(
        ",",
        "[",
        "]",
    ) { "\"$it\"" }},"field":null,"samePlace":false,"spread":false,"gleaning":false,"growS":3,"harvestS":0,
        "baleS":0,"dueS":null}"""
}
