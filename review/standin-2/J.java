import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, arrays are lists, integers are longs, other numbers doubles. */
final class J {
    private final String text;
    private int at;

    private J(String text) {
        this.text = text;
    }

    /** Parses one JSON value. Throws IllegalArgumentException if the text is anything else. */
    static Object parse(String text) {
        J reader = new J(text);
        Object value = reader.value();
        reader.blanks();
        if (reader.at != text.length()) throw new IllegalArgumentException("text after the value");
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> map(Object value) {
        return (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object value) {
        return value == null ? List.of() : (List<Object>) value;
    }

    /** A map of alternating keys and values. */
    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }

    static long num(Object value) {
        return value == null ? 0 : ((Number) value).longValue();
    }

    static double dbl(Object value) {
        return value == null ? 0 : ((Number) value).doubleValue();
    }

    private void blanks() {
        while (at < text.length() && " \t\r\n".indexOf(text.charAt(at)) >= 0) at++;
    }

    private char next() {
        if (at >= text.length()) throw new IllegalArgumentException("end of text");
        return text.charAt(at++);
    }

    private Object value() {
        blanks();
        char first = next();
        if (first == '{') return object();
        if (first == '[') return array();
        if (first == '"') return string();
        at--;
        for (String word : new String[] {"true", "false", "null"}) {
            if (text.startsWith(word, at)) {
                at += word.length();
                return word.equals("null") ? null : (Object) word.equals("true");
            }
        }
        int from = at;
        while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) at++;
        String number = text.substring(from, at);
        return number.matches("-?[0-9]+") ? (Object) Long.parseLong(number) : (Object) Double.parseDouble(number);
    }

    private Object object() {
        Map<String, Object> map = new LinkedHashMap<>();
        blanks();
        if (text.startsWith("}", at)) {
            at++;
            return map;
        }
        while (true) {
            blanks();
            if (next() != '"') throw new IllegalArgumentException("no name");
            String name = string();
            blanks();
            if (next() != ':') throw new IllegalArgumentException("no colon");
            map.put(name, value());
            blanks();
            char c = next();
            if (c == '}') return map;
            if (c != ',') throw new IllegalArgumentException("no comma");
        }
    }

    private Object array() {
        List<Object> list = new ArrayList<>();
        blanks();
        if (text.startsWith("]", at)) {
            at++;
            return list;
        }
        while (true) {
            list.add(value());
            blanks();
            char c = next();
            if (c == ']') return list;
            if (c != ',') throw new IllegalArgumentException("no comma");
        }
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        while (true) {
            char c = next();
            if (c == '"') return out.toString();
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = next();
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(escaped);
            }
        }
    }

    /** Writes a value as JSON. */
    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            boolean first = true;
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                if (!first) out.append(',');
                first = false;
                quote(entry.getKey().toString(), out);
                out.append(':');
                write(entry.getValue(), out);
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            for (int i = 0; i < list.size(); i++) {
                if (i > 0) out.append(',');
                write(list.get(i), out);
            }
            out.append(']');
        } else if (value instanceof String string) {
            quote(string, out);
        } else {
            out.append(value);
        }
    }

    private static void quote(String string, StringBuilder out) {
        out.append('"');
        for (int i = 0; i < string.length(); i++) {
            char c = string.charAt(i);
            if (c == '"' || c == '\\') out.append('\\').append(c);
            else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
            else out.append(c);
        }
        out.append('"');
    }
}
