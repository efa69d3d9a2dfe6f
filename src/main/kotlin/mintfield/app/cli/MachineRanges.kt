package mintfield.app.cli

import org.roaringbitmap.RoaringBitmap

/**
 * Names of many machines in few words. Names that end in a number are kept as one compressed bitmap for each beginning and width, and told
 * as ranges: `m-000001..000040`.
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
        val digits = name.takeLastWhile(Char::isDigit).takeLast(MOST_DIGITS)
        if (digits.isEmpty()) {
            others.add(name)
            return
        }
        numbered.getOrPut(Series(name.dropLast(digits.length), digits.length)) { RoaringBitmap() }.add(digits.toInt())
    }

    /** The names, in order, as single ones and ranges. */
    fun describe(): List<String> = numbered.flatMap { (series, numbers) -> ranges(series, numbers) } + others.sorted()

    private fun ranges(
        series: Series,
        numbers: RoaringBitmap,
    ): List<String> {
        val found = ArrayList<String>()
        var first = numbers.nextValue(0)
        while (first >= 0) {
            val last = numbers.nextAbsentValue(first.toInt()) - 1
            val from = series.prefix + first.toString().padStart(series.width, '0')
            found.add(if (last > first) "$from..${last.toString().padStart(series.width, '0')}" else from)
            first = numbers.nextValue((last + 1).toInt())
        }
        return found
    }

    private companion object {
        /** Digits that fit a bitmap of 32 bits. */
        const val MOST_DIGITS = 9
    }
}
