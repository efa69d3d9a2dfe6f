package mintfield.golden

import org.junit.jupiter.api.Assertions.assertEquals
import java.io.File
import java.util.HexFormat

/**
 * Golden files, which pin to the byte the formats that other programs and versions read. They are written with
 * `-Dgolden.write=true`, and only for a new format: a difference from an existing file is a change that breaks a running fleet.
 */
object GoldenFile {
    private const val BYTES_PER_LINE = 32
    private val directory = File("src/test/resources/golden")
    private val writes = System.getProperty("golden.write") == "true"

    /** Compares [found] with the file [name], and returns the content of the file. */
    fun check(
        name: String,
        found: ByteArray,
    ): ByteArray {
        if (writes) file(name).apply { parentFile.mkdirs() }.writeBytes(found)
        val kept = bytes(name)
        assertEquals(String(kept), String(found), name)
        assertEquals(HexFormat.of().formatHex(kept), HexFormat.of().formatHex(found), name)
        return kept
    }

    /** Compares binary [found] with the file [name], which holds hexadecimal digits, and returns the decoded content of the file. */
    fun checkHex(
        name: String,
        found: ByteArray,
    ): ByteArray {
        val lines = HexFormat.of().formatHex(found).chunked(2 * BYTES_PER_LINE)
        val kept = check(name, lines.joinToString("") { it + "\n" }.toByteArray())
        return HexFormat.of().parseHex(String(kept).replace("\n", ""))
    }

    fun bytes(name: String): ByteArray = file(name).readBytes()

    fun text(name: String): String = String(bytes(name))

    private fun file(name: String) = File(directory, name)
}
