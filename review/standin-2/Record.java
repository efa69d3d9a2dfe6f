import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to a file, with the seconds since the start of the case. */
final class Record {
    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Record() {}

    static synchronized void open(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Seconds since the start of the case. */
    static double seconds() {
        return (System.nanoTime() - START) / 1e9;
    }

    static synchronized void add(String line) {
        String text = String.format("%8.3f %s", seconds(), line);
        out.println(text);
        out.flush();
    }

    /** Adds a line that is also printed. */
    static void say(String line) {
        add(line);
        System.out.printf("%8.3f %s%n", seconds(), line);
    }
}
