/**
 * `npm run plot -- --file FILE --out OUT`: reads the JSON report of `measure
 * ranks` or `customers` from FILE and writes a bar chart as SVG to OUT.
 */

import { readFile, writeFile } from "node:fs/promises";
import process from "node:process";
import { init } from "echarts";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import type { ClassResults } from "../src/process/load_generator.ts";

const WIDTH = 760;
const HEIGHT = 360;

interface RunReport {
  readonly measurement: string;
  readonly figures: Readonly<Record<string, unknown>>;
}

const { file, out } = await yargs(hideBin(process.argv))
  .option("file", { type: "string", demandOption: true })
  .option("out", { type: "string", demandOption: true })
  .strict()
  .parse();

const report = JSON.parse(await readFile(file, "utf8")) as RunReport;
await writeFile(out, draw(report));

/** Returns an SVG bar chart with a group per scenario and a bar per class. */
function draw({ measurement, figures }: RunReport): string {
  const scenarios = Object.entries(figures).filter((
    scenario,
  ): scenario is [string, readonly ClassResults[]] =>
    Array.isArray(scenario[1])
  );
  const names = [
    ...new Set(
      scenarios.flatMap(([, classes]) => classes.map(({ name }) => name)),
    ),
  ];
  const chart = init(null, null, {
    renderer: "svg",
    ssr: true,
    width: WIDTH,
    height: HEIGHT,
  });
  chart.setOption({
    animation: false,
    title: { text: `${measurement}: share of requests in their target time` },
    legend: { bottom: 0 },
    xAxis: { type: "category", data: scenarios.map(([scenario]) => scenario) },
    yAxis: { type: "value", min: 0, max: 1 },
    series: names.map((name) => ({
      name,
      type: "bar",
      data: scenarios.map(([, classes]) =>
        classes.find((candidate) => candidate.name === name)?.attainment ?? null
      ),
    })),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}
