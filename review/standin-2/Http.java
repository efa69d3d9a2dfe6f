import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** HTTP servers and clients on loopback. */
final class Http {
    static final String LOOPBACK = "127.0.0.1";
    static final ExecutorService POOL =
        Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });

    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
    }

    private static final Set<Integer> GIVEN = new HashSet<>();

    private Http() {}

    /** An answer: a status and a JSON body. Status 0 of a handler: the connection is closed without an answer. */
    record Answer(int status, String body) {
        static final Answer NONE = new Answer(0, "");

        Map<String, Object> json() {
            try {
                return J.map(J.parse(body));
            } catch (RuntimeException e) {
                return Map.of();
            }
        }

        String stage() {
            Object stage = json().get("stage");
            return stage == null ? "-" : stage.toString();
        }

        @Override
        public String toString() {
            return status == 0 ? "no answer" + (body.isEmpty() ? "" : " (" + body + ")") : status + " " + body;
        }
    }

    interface Handler {
        Answer handle(String method, String path, String query, String body) throws Exception;
    }

    /** Starts a server on a free port and returns the port. */
    static int serve(Handler handler) {
        try {
            HttpServer server = HttpServer.create(new InetSocketAddress(LOOPBACK, 0), 1024);
            server.setExecutor(POOL);
            server.createContext("/", exchange -> respond(handler, exchange));
            server.start();
            return server.getAddress().getPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void respond(Handler handler, HttpExchange exchange) throws IOException {
        Answer answer;
        try {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            URI uri = exchange.getRequestURI();
            answer = handler.handle(exchange.getRequestMethod(), uri.getPath(), uri.getQuery(), body);
        } catch (Exception e) {
            answer = new Answer(400, J.write(J.of("error", e.toString())));
        }
        if (answer.status == 0) {
            exchange.close();
            return;
        }
        byte[] bytes = answer.body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(answer.status, bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    /** A client with connections of its own, which it keeps open. */
    static HttpClient client() {
        return HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(2)).executor(POOL).build();
    }

    static Answer call(HttpClient client, int port, String method, String path, String body, long timeoutMs) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + LOOPBACK + ":" + port + path)).timeout(Duration.ofMillis(timeoutMs));
        request.method(method, body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body));
        try {
            HttpResponse<String> response = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
            return new Answer(0, e.getClass().getSimpleName());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Answer.NONE;
        }
    }

    /** A free port below those that systems give to servers and clients by themselves, so that nothing else takes it before its use. */
    static synchronized int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            if (!GIVEN.add(port)) continue;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(LOOPBACK))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // The port is in use.
            }
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
