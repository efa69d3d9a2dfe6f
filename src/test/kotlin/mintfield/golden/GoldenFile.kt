package mintfield.golden

import org.junit.jupiter.api.Assertions.assertEquals
import java.io.File
import java.util.HexFormat

/**
 * Files that pin what others read of this program, to the byte. They are only ever written, where a form is new, with
 * `-Dgolden.write=true`; a test that differs from its file has found a change that a running fleet would not survive.
 */
object GoldenFile {
    private const val BYTES_A_LINE = 32
    private val directory = File("src/test/resources/golden")
    private val writes = System.getProperty("golden.write") == "true"

    /** Compares [found] with the file [name], and returns what the file holds. */
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

    /** The same for bytes that are no text; the file holds them as hexadecimal digits. */
    fun checkHex(
        name: String,
        found: ByteArray,
    ): ByteArray {
        val lines = HexFormat.of().formatHex(found).chunked(2 * BYTES_A_LINE)
        val kept = check(name, lines.joinToString("") { it + "\n" }.toByteArray())
        return HexFormat.of().parseHex(String(kept).replace("\n", ""))
    }

    fun bytes(name: String): ByteArray = file(name).readBytes()

    fun text(name: String): String = String(bytes(name))

    private fun file(name: String) = File(directory, name)
}
