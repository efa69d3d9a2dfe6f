package mintfield.app.cli

import org.roaringbitmap.RoaringBitmap

/**
 * The names of many machines, described as ranges such as `m-000001..000040`. The numbers at the end of names are kept as one compressed
 * bitmap for each prefix and number of digits.
 */
class MachineRanges(
    names: Collection<String>,
) {
    private data class Series(
        val prefix: String,
        val width: Int,
    )

    private val numbered = sortedMapOf<Series, RoaringBitmap>(compareBy({ it.prefix }, { it.width }))
    private val others = ArrayList<String>()

    init {
        names.forEach(::add)
    }

    private fun add(name: String) {
        val digits = name.takeLastWhile(Char::isDigit).takeLast(MAX_DIGITS)
        if (digits.isEmpty()) {
            others.add(name)
            return
        }
        numbered.getOrPut(Series(name.dropLast(digits.length), digits.length)) { RoaringBitmap() }.add(digits.toInt())
    }

    /** The names as single ones and ranges: first those that end in a number, then the others, each in order. */
    fun describe(): List<String> = numbered.flatMap { (series, numbers) -> ranges(series, numbers) } + others.sorted()

    private fun ranges(
        series: Series,
        numbers: RoaringBitmap,
    ): List<String> {
        val described = ArrayList<String>()
        var first = numbers.nextValue(0)
        while (first >= 0) {
            val last = numbers.nextAbsentValue(first.toInt()) - 1
            val from = series.prefix + first.toString().padStart(series.width, '0')
            described.add(if (last > first) "$from..${last.toString().padStart(series.width, '0')}" else from)
            first = numbers.nextValue((last + 1).toInt())
        }
        return described
    }

    private companion object {
        /** Digits of a number that certainly fits 32 bits. */
        const val MAX_DIGITS = 9
    }
}
