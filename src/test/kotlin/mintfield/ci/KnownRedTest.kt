package mintfield.ci

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.File

/** Checks that continuous integration tolerates failures of the tests in KNOWN-RED.txt and of no others. */
class KnownRedTest {
    @TempDir
    lateinit var dir: File

    /** Exit code and output of `.ci/known-red` for a run in which the [failed] tests failed, with [list] as KNOWN-RED.txt. */
    private fun check(
        list: String?,
        vararg failed: String,
    ): Pair<Int, String> {
        val reports = File(dir, "reports").also { it.mkdirs() }
        val cases =
            listOf("it holds", "a leader's lease & its end", "seeds 1 to 3", "the fourth").joinToString("\n") { name ->
                val escaped = name.replace("&", "&amp;").replace("'", "&apos;")
                val end = if (name in failed) ">\n<failure message=\"no\">at x</failure>\n</testcase>" else "/>"
                "<testcase name=\"$escaped\" classname=\"mintfield.XTest\" time=\"0.1\"$end"
            }
        File(reports, "TEST-mintfield.XTest.xml").writeText("<testsuite name=\"mintfield.XTest\" tests=\"4\">\n$cases\n</testsuite>\n")
        val file = File(dir, "KNOWN-RED.txt").also { if (list == null) it.delete() else it.writeText(list) }
        val run = ProcessBuilder("bash", ".ci/known-red", file.path, reports.path).redirectErrorStream(true).start()
        val text = run.inputStream.bufferedReader().readText()
        return run.waitFor() to text
    }

    private fun line(name: String) = "mintfield.XTest#$name | mvn verify, seed 7 | a real fault | issue 17\n"

    @Test
    fun `only what is listed may fail, and it is printed`() {
        assertEquals(0 to "", check(null))
        assertEquals(1, check(null, "it holds").first)
        val (code, text) = check(line("a leader's lease & its end"), "a leader's lease & its end")
        assertEquals(0, code, text)
        assertTrue("known red: mintfield.XTest#a leader's lease & its end | mvn verify, seed 7 | a real fault | issue 17" in text, text)
        assertEquals(1, check(line("it holds"), "it holds", "the fourth").first)
    }

    @Test
    fun `a list that is too long, malformed or names no test fails`() {
        val all = listOf("it holds", "a leader's lease & its end", "seeds 1 to 3", "the fourth")
        assertEquals(0, check(all.take(3).joinToString("") { line(it) }, *all.take(3).toTypedArray()).first)
        assertEquals(1, check(all.joinToString("") { line(it) }).first)
        assertEquals(1, check("mintfield.XTest#it holds | no issue\n").first)
        assertEquals(1, check("it holds | mvn verify | a cause | issue 17\n").first)
        assertEquals(1, check("mintfield.XTest#it holds | a cause | issue 17\n").first)
        assertEquals(1, check("mintfield.XTest#it holds |  | a cause | issue 17\n").first)
        assertEquals(1, check(line("it hold")).first)
    }
}
