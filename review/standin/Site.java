package standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A small deployment on loopback: three controllers, the state service, the cloud, workers and users. */
public final class Site implements AutoCloseable {
    /** The settings of a deployment. */
    public record Shape(String[] zones, List<Cloud.Type> types, Map<String, double[]> teams, double reportS, double leaseS, double cancelS, double rps,
        double writeRps, double valueKb, int txnOps, double cloudRps, double lagS, int sockets, int mostMachines) {

        /** The settings of "Folha Justa Payroll Run Cluster" in the brief. */
        public static Shape payroll() {
            return payroll(Map.of("folha-ops", new double[] {136, 400}));
        }

        /** The same on a day with the guest team, which has neither a guarantee nor a limit. */
        public static Shape payrollWithGuest() {
            return payroll(Map.of("folha-ops", new double[] {136, 400}, "censo-social", new double[] {0, 0}));
        }

        private static Shape payroll(Map<String, double[]> teams) {
            List<String> fields = List.of("lisboa-a", "lisboa-b");
            return new Shape(new String[] {"lisboa-a", "lisboa-b", "lisboa-a"},
                List.of(new Cloud.Type("desk-node", 16, 128, 1.25, 0.4, 15, 1.0, fields), new Cloud.Type("close-node", 64, 256, 4.49, 1.39, 35, 1.0, fields)),
                teams, 1.0, 10.0, 40.0, 60, 20, 8, 16, 4, 5.0, 600, 40);
        }

        /** The settings of "Selam Print Bureau Slicing Cluster" in the brief. */
        public static Shape printBureau() {
            List<String> fields = List.of("bole-hall", "campus-annex");
            return new Shape(new String[] {"bole-hall", "campus-annex", "bole-hall"},
                List.of(new Cloud.Type("bench-box", 4, 16, 0.21, 0.06, 25, 1.0, fields), new Cloud.Type("slicer-rack", 32, 128, 1.47, 0.44, 50, 1.0, fields)),
                Map.of("print-floor", new double[] {0, 0}), 1.5, 10.0, 40.0, 200, 30, 32, 20, 5, 3.0, 1000, 28);
        }

        private String params() {
            StringBuilder text = new StringBuilder("[params]\nsize = 3\nzones = [");
            List<String> all = types.get(0).fields();
            for (int i = 0; i < all.size(); i++) text.append(i > 0 ? ", " : "").append('"').append(all.get(i)).append('"');
            text.append("]\nclock_off_ms = 5.0\n");
            teams.forEach((name, cpus) -> text.append("\n[[params.teams]]\nname = \"").append(name).append("\"\ncpus = ").append(cpus[0]).append("\ncpus_max = ")
                .append(cpus[1]).append("\ngpus = 0.0\ngpus_max = 0.0\n"));
            text.append("\n[params.workers]\nreport_s = ").append(reportS).append("\nlease_s = ").append(leaseS).append("\ngang_wait_s = 35.0\ngang_peer_s = 6.0\ncancel_s = ")
                .append(cancelS);
            text.append("\n\n[params.state]\nrps = ").append(rps).append("\nwrite_rps = ").append(writeRps).append("\nvalue_kb = ").append(valueKb).append("\ntxn_ops = ")
                .append(txnOps);
            text.append("\n\n[params.cloud]\nrps = ").append(cloudRps).append("\nlist_lag_s = ").append(lagS);
            text.append("\n\n[params.resources]\ncpu = 0.425\nram_mb = 210.0\nmax_sockets = ").append(sockets).append('\n');
            return text.toString();
        }
    }

    /** Seconds after which nothing is waited for any more: a case ends within 120 s. */
    private static final double LATEST_S = 40;

    public final Record record;
    public final Jobs jobs;
    public final StateService state;
    public final Cloud cloud;
    public final Controllers controllers;
    public final Users users;
    /** Whether the disruption of the case takes place. */
    public final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path folder;
    private final List<Worker> workers = new ArrayList<>();

    public Site(Path repository, Path caseFolder, Shape shape) throws IOException {
        folder = Files.createTempDirectory("mintfield-review");
        record = new Record(caseFolder.resolve("record.txt"));
        Map<String, Double> limits = new java.util.HashMap<>();
        shape.teams.forEach((name, cpus) -> limits.put(name, cpus[1]));
        jobs = new Jobs(record, limits, shape.cancelS);
        state = new StateService(record, 3, shape.rps, shape.writeRps, shape.valueKb, shape.txnOps);
        controllers = new Controllers(record, repository, folder, 3);
        cloud = new Cloud(record, shape.types, shape.lagS, shape.mostMachines, (id, type, field, gleaning) ->
            new Worker(record, jobs, id, type, field, gleaning, shape.reportS, shape.leaseS, controllers.names, controllers.clientPorts));
        controllers.writeSettings(shape.zones, cloud.port, state.ports, shape.params());
        users = new Users(record, controllers);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        Http.run(this::watchRules);
    }

    private void watchRules() {
        while (true) {
            jobs.check();
            try {
                Thread.sleep(100);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Adds machines that are up already. */
    public void machines(String sku, String field, int count) throws IOException {
        for (int i = 0; i < count; i++) workers.add(cloud.add(sku, field));
    }

    /** Starts the controllers, and waits until all are ready, one leads, and every worker has heard it. */
    public void start() throws Exception {
        for (int i = 0; i < 3; i++) controllers.start(i);
        await("all controllers are ready", 30, () -> controllers.isReady(0) && controllers.isReady(1) && controllers.isReady(2));
        await("one controller leads and every worker has heard it", 20, () -> controllers.leader(state) >= 0 && workers.stream().allMatch(w -> w.staff() > 0));
    }

    /** What is waited for. */
    public interface Condition {
        boolean holds() throws Exception;
    }

    /** Waits for a condition; without it the case could not run. */
    public void await(String what, double seconds, Condition condition) throws Exception {
        double endAt = record.now() + seconds;
        while (!condition.holds()) {
            if (record.now() > endAt || record.now() > LATEST_S) throw new CannotRun(what);
            Thread.sleep(10);
        }
        record.say("seen: " + what);
    }

    /** Thrown if the case could not run. */
    public static final class CannotRun extends Exception {
        CannotRun(String what) {
            super("not seen in time: " + what);
        }
    }

    /** Copies lines of the controllers' logs into the record. */
    public void keepLog(String... words) throws IOException {
        for (int i = 0; i < 3; i++) for (String line : controllers.log(i, words)) record.add("log    " + controllers.names[i] + ": " + line);
    }

    @Override
    public void close() {
        controllers.killAll();
        if (System.getenv("KEEP") != null) return;
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) Files.deleteIfExists(file);
        } catch (IOException e) {
            // The folder is temporary.
        }
    }

    /** The steps of a case. */
    public interface Steps {
        void run(Site site) throws Exception;
    }

    /** Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    public static void play(String[] args, Shape shape, String rule, Steps steps) {
        int code = 2;
        try (Site site = new Site(Path.of(args[0]).toAbsolutePath(), Path.of(args[1]).toAbsolutePath(), shape)) {
            site.record.say("trouble " + (site.trouble ? "on" : "off"));
            try {
                steps.run(site);
                code = site.jobs.broken(rule) > 0 ? 1 : 0;
            } catch (CannotRun e) {
                site.record.say("could not run: " + e.getMessage());
            }
            site.record.say(site.jobs.summary());
            site.record.say(code == 1 ? "result: " + rule + " was broken" : code == 0 ? "result: " + rule + " held" : "result: not run");
        } catch (Exception e) {
            e.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }
}
