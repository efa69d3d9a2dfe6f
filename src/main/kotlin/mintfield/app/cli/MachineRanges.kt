package mintfield.app.cli

import org.roaringbitmap.RoaringBitmap

/**
 * A compact description of many machine names as ranges such as `m-000001..000040`. The numbers at the end of names are kept in one
 * compressed bitmap for each prefix and number of digits.
 */
class MachineRanges(
    names: Collection<String>,
) {
    private data class Series(
        val prefix: String,
        val width: Int,
    )

    private val numbered = sortedMapOf<Series, RoaringBitmap>(compareBy({ it.prefix }, { it.width }))
    private val unnumbered = ArrayList<String>()

    init {
        names.forEach(::add)
    }

    private fun add(name: String) {
        val digits = name.takeLastWhile(Char::isDigit).takeLast(MAX_DIGITS)
        if (digits.isEmpty()) {
            unnumbered.add(name)
            return
        }
        numbered.getOrPut(Series(name.dropLast(digits.length), digits.length)) { RoaringBitmap() }.add(digits.toInt())
    }

    /** Returns single names and ranges: first the names that end in a number, then the other names, both sorted. */
    fun describe(): List<String> = numbered.flatMap { (series, numbers) -> ranges(series, numbers) } + unnumbered.sorted()

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
        /** The largest number of digits with which every number fits a signed 32-bit integer. */
        const val MAX_DIGITS = 9
    }
}
