package mintfield.core.model

/** The identity of a task: the id of its job and its index within the job, from 0. */
data class TaskId(
    val job: String,
    val index: Int,
) {
    /** The written form, such as `wk-000412/3`. */
    override fun toString() = "$job$SEPARATOR$index"

    /** Parser of task ids. */
    companion object {
        private const val SEPARATOR = '/'

        /** Parses [text] in the form of [toString]; null if it is malformed. */
        fun parse(text: String): TaskId? {
            val separator = text.lastIndexOf(SEPARATOR)
            if (separator <= 0) return null
            val index = text.substring(separator + 1).toIntOrNull() ?: return null
            return TaskId(text.substring(0, separator), index)
        }
    }
}
