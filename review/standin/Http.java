package standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** Plain HTTP/1.1 on loopback addresses: servers, and a client that keeps one connection. */
public final class Http {
    /** A status with a body. */
    public record Answer(int status, String body) {}

    /** Answers one request. */
    public interface Handler {
        Answer answer(String method, String path, String query, String body) throws Exception;
    }

    private static final ExecutorService THREADS =
        Executors.newCachedThreadPool(
            task -> {
                Thread thread = new Thread(task);
                thread.setDaemon(true);
                return thread;
            });

    private Http() {}

    public static void run(Runnable task) {
        THREADS.execute(task);
    }

    /** Returns a port on which nothing listens, below those that the system gives to connections by itself. */
    public static int freePort() throws IOException {
        for (int tries = 0; tries < 200; tries++) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // Another program uses it.
            }
        }
        throw new IOException("no free port found");
    }

    /** Starts a server on a free port and returns the port. */
    public static int serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 200);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> handle(exchange, handler));
        server.start();
        return server.getAddress().getPort();
    }

    private static void handle(HttpExchange exchange, Handler handler) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String query = exchange.getRequestURI().getRawQuery();
        Answer answer;
        try {
            answer = handler.answer(exchange.getRequestMethod(), exchange.getRequestURI().getRawPath(), query == null ? "" : query, body);
        } catch (Exception e) {
            answer = new Answer(500, "{\"error\":\"stand-in failed\"}");
            e.printStackTrace();
        }
        byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    /** The value of a field of a query; null if there is none. */
    public static String field(String query, String name) {
        for (String part : query.split("&")) if (part.startsWith(name + "=")) return part.substring(name.length() + 1);
        return null;
    }

    /** A client of one address. Not for use by two threads at once. */
    public static final class Client implements AutoCloseable {
        private final int port;
        private Socket socket;

        public Client(int port) {
            this.port = port;
        }

        /** Sends a request and returns the answer. Throws IOException if there is none within the time, and closes the connection. */
        public Answer call(String method, String path, String body, int timeoutMs) throws IOException {
            try {
                long endMs = System.currentTimeMillis() + timeoutMs;
                if (socket == null || socket.isClosed()) {
                    socket = new Socket();
                    socket.setTcpNoDelay(true);
                    socket.connect(new InetSocketAddress("127.0.0.1", port), Math.min(timeoutMs, 500));
                }
                byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
                String head = method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1:" + port + "\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n";
                ByteArrayOutputStream out = new ByteArrayOutputStream();
                out.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
                out.writeBytes(bytes);
                socket.getOutputStream().write(out.toByteArray());
                return read(endMs);
            } catch (IOException e) {
                close();
                throw e;
            }
        }

        private Answer read(long endMs) throws IOException {
            InputStream in = socket.getInputStream();
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            int status = 0;
            int length = 0;
            boolean keep = true;
            while (true) {
                int b = readByte(in, endMs);
                if (b != '\n') {
                    if (b != '\r') line.write(b);
                    continue;
                }
                String text = line.toString(StandardCharsets.ISO_8859_1);
                line.reset();
                if (text.isEmpty()) break;
                if (status == 0) status = Integer.parseInt(text.split(" ")[1]);
                String lower = text.toLowerCase();
                if (lower.startsWith("content-length:")) length = Integer.parseInt(text.substring(15).trim());
                if (lower.startsWith("connection:") && lower.contains("close")) keep = false;
            }
            byte[] body = new byte[length];
            for (int i = 0; i < length; i++) body[i] = (byte) readByte(in, endMs);
            if (!keep) close();
            return new Answer(status, new String(body, StandardCharsets.UTF_8));
        }

        private final byte[] buffer = new byte[8192];
        private int next = 0;
        private int end = 0;

        private int readByte(InputStream in, long endMs) throws IOException {
            if (next == end) {
                long left = endMs - System.currentTimeMillis();
                if (left <= 0) throw new SocketTimeoutException("no answer in time");
                socket.setSoTimeout((int) left);
                int count = in.read(buffer);
                if (count < 0) throw new IOException("connection closed");
                next = 0;
                end = count;
            }
            return buffer[next++] & 0xff;
        }

        @Override
        public void close() {
            next = 0;
            end = 0;
            if (socket == null) return;
            try {
                socket.close();
            } catch (IOException e) {
                // The connection is not used again.
            }
            socket = null;
        }
    }
}
